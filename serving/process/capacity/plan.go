package capacity

import (
	"slices"
	"time"

	"papayaport.dev/serving/connection/engine"
	"papayaport.dev/serving/process/platform"
)

// Plan is what the key-value service holds for a service in a failure domain.
type Plan struct {
	// Commit names the write that brought this plan.
	Commit string `json:"commit"`
	// Fencing is the fencing number under which it was written.
	Fencing uint64 `json:"fencing"`
	// Wanted is the number of backend servers.
	Wanted int            `json:"wanted"`
	Starts []PlannedStart `json:"starts,omitempty"`
	Stops  []PlannedStop  `json:"stops,omitempty"`
}

// PlannedStart is a place for one more backend server.
type PlannedStart struct {
	// RequestID goes with every attempt, on whatever class.
	RequestID string `json:"request_id"`
}

// PlannedStop is a backend server to drain and then to stop.
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

// Order is something to do outside.
type Order interface{ order() }

// ReadPlan asks for the committed plan.
type ReadPlan struct{}

// CommitPlan asks to write a plan if the revision is still the one given.
type CommitPlan struct {
	Plan       Plan
	IfRevision uint64
}

// StartInstance asks for an instance.
type StartInstance struct{ Start platform.Start }

// DrainServer asks that no entry instance sends new work to a backend server.
type DrainServer struct {
	Stop PlannedStop
	// Within is the time that its work has to end.
	Within time.Duration
}

// StopInstance asks to stop a drained instance.
type StopInstance struct{ Stop PlannedStop }

// OrderEngine asks a model engine for a change.
type OrderEngine struct {
	Service  string
	Instance string
	Address  string
	Order    engine.Order
	// Bytes is what the order fetches from the weight store.
	Bytes int64
	// Value orders fetches: waiting requests for each server that lacks the model.
	Value float64
}

func (ReadPlan) order()      {}
func (CommitPlan) order()    {}
func (StartInstance) order() {}
func (DrainServer) order()   {}
func (StopInstance) order()  {}
func (OrderEngine) order()   {}

// Result is how a call ended.
type Result int

// Results.
const (
	// Done means that the call took effect.
	Done Result = iota
	// Refused means that the other side said no: a conflict, no instance to give, an
	// old fencing number, over the rate.
	Refused
	// Unavailable means that the call did not take effect.
	Unavailable
	// Unknown means that it may have taken effect.
	Unknown
)

// Demand is the load of a service in a failure domain, over all entry instances.
type Demand struct {
	InFlight int
	Waiting  int
	// FirstTokenMS is the time to first token at the service's quantile, 0 if not known.
	FirstTokenMS float64
}

// Report is what is known of one backend server at present.
type Report struct {
	Instance    string
	Incarnation uint64
	// Models are those loaded.
	Models []string
	// InUse is the work of all entry instances and of the server itself by its own report.
	InUse int
	// AllHeard tells that every listed entry instance was heard of lately, so that InUse
	// misses none.
	AllHeard bool
}
