package capacity

import (
	"slices"
	"time"

	"papayaport.dev/serving/connection/engine"
	"papayaport.dev/serving/process/platform"
)

// Plan is the plan for a service in a failure domain, as stored in the key-value service.
type Plan struct {
	// Commit identifies the write of this plan.
	Commit string `json:"commit"`
	// Fencing is the fencing token under which the plan was written.
	Fencing uint64 `json:"fencing"`
	// Wanted is the wanted number of backend servers.
	Wanted int            `json:"wanted"`
	Starts []PlannedStart `json:"starts,omitempty"`
	Stops  []PlannedStop  `json:"stops,omitempty"`
}

// PlannedStart is the start of one additional backend server.
type PlannedStart struct {
	// RequestID is the idempotency key of all attempts, whatever the machine class.
	RequestID string `json:"request_id"`
}

// PlannedStop is a backend server to be drained and then stopped.
type PlannedStop struct {
	Instance    string `json:"instance"`
	Incarnation uint64 `json:"incarnation"`
}

func (p *Plan) clone() Plan {
	c := *p
	c.Starts = slices.Clone(p.Starts)
	c.Stops = slices.Clone(p.Stops)
	return c
}

func (p *Plan) equal(other *Plan) bool {
	return p.Wanted == other.Wanted && slices.Equal(p.Starts, other.Starts) && slices.Equal(p.Stops, other.Stops)
}

func (p *Plan) stops(instance string) bool {
	return slices.ContainsFunc(p.Stops, func(s PlannedStop) bool { return s.Instance == instance })
}

// Action is a call that the planner requests.
type Action interface{ action() }

// ReadPlan reads the committed plan.
type ReadPlan struct{}

// CommitPlan writes a plan on the condition that the stored revision is IfRevision.
type CommitPlan struct {
	Plan       Plan
	IfRevision uint64
}

// StartInstance starts an instance.
type StartInstance struct{ Start platform.Start }

// DrainServer makes all entry instances stop sending new requests to a backend server.
type DrainServer struct {
	Stop PlannedStop
	// Within is the time limit for its requests in flight.
	Within time.Duration
}

// StopInstance stops a drained instance.
type StopInstance struct{ Stop PlannedStop }

// OrderEngine sends an order to a model engine.
type OrderEngine struct {
	Service  string
	Instance string
	Address  string
	Order    engine.Order
	// Bytes is the number of bytes that the order fetches from the weight store.
	Bytes int64
	// Value is the priority of the fetch: waiting requests per server without the model.
	Value float64
}

func (ReadPlan) action()      {}
func (CommitPlan) action()    {}
func (StartInstance) action() {}
func (DrainServer) action()   {}
func (StopInstance) action()  {}
func (OrderEngine) action()   {}

// Result is the result of a call.
type Result int

// Results.
const (
	// Done means that the call took effect.
	Done Result = iota
	// Refused means that the other side rejected the call: a conflict, no free instance, an
	// outdated fencing token, or a rate limit.
	Refused
	// Unavailable means that the call failed without effect.
	Unavailable
	// Unknown means that the call failed and may have taken effect.
	Unknown
)

// Demand is the load of a service in a failure domain, over all entry instances.
type Demand struct {
	InFlight int
	Waiting  int
	// FirstTokenMS is the time to first token at the service's quantile, 0 if not known.
	FirstTokenMS float64
}

// Report is the current state of one backend server.
type Report struct {
	Instance    string
	Incarnation uint64
	// Models are the loaded models.
	Models []string
	// InUse is the number of requests at the server, by the reports of all entry instances and
	// of the server itself.
	InUse int
	// AllReported is set if all listed entry instances have reported recently, so that InUse is
	// complete.
	AllReported bool
}
