// Package rollout moves a service's traffic to another version of its backend servers, and
// moves it back if that version, the candidate, fails.
//
// An operator's Order names the candidate and a duration. One entry instance at a time holds
// the cluster-wide duties. On this holder, the Decider keeps a Record for each service in the
// platform's store and evaluates the candidate from the pooled Reports of all entry instances.
// On every entry instance, the Gate selects the versions that each attempt may use, and the
// Recorder counts the results of the attempts.
//
// A roll-out starts as a canary: in Trial, a bounded share of the requests goes to the
// candidate. In Shift, all new requests go to the candidate while the old servers drain. The
// number of requests sent to an untrusted candidate is its exposure, which Limits bounds. A
// Permit is a short lease that the holder grants for a phase: an instance without a fresh
// permit sends no requests to a candidate in trial.
//
// The package does no I/O and reads no clock: callers pass the time, records, permits and
// results, and get picks, reports and decisions back.
//
// # Locks
//
// Gate, Recorder and Decider are safe for concurrent use. Each has one mutex and calls no other
// component while it holds it.
//
// # Usage
//
// On every entry instance, with times of the boot clock:
//
//	gate, recorder := rollout.NewGate(limits), rollout.NewRecorder()
//	gate.SetState(now, rollout.State{Orders: orders, Records: records, Entries: 64})
//	order, phase := gate.Applied("model-bench")
//	if !phase.InProgress() {
//		order = 0
//	}
//	recorder.Follow("model-bench", order)
//	gate.Permit(now, permits)
//
// For each attempt; if no server of pick.Only is available, call Pick again with repeat set:
//
//	pick := gate.Pick(now, "model-bench", "filing-review", false)
//	candidate := gate.IsCandidate("model-bench", version)
//	gate.Sent(now, "model-bench", "filing-review", candidate)
//	number := recorder.Began(now, attempt)
//	recorder.First(now, number)
//	recorder.Answered(answer) // or recorder.Dropped(number)
//
// On the holder of the duties, with the wall-clock time:
//
//	decider := rollout.NewDecider(limits)
//	for _, decision := range decider.Decide(now, input) {
//		// Log decision.Step with decision.Finding, unless decision.Repeated.
//		if decision.Permit {
//			permits = append(permits, permit(decision.Record))
//		}
//		if decision.Write {
//			decider.HandleWriteResult(now, decision, write(decision))
//		}
//	}
package rollout

import "time"

// Order is an operator's order to move a service's traffic to a version.
//
// An order that cannot be decoded has no To or no Duration. It is still passed on with its
// Service and Revision, because a missing order counts as withdrawn.
type Order struct {
	Service  string        `cbor:"1,keyasint"`
	To       string        `cbor:"2,keyasint"`
	Duration time.Duration `cbor:"3,keyasint"`
	// Revision is the revision of the order's key in the store; a new revision is a new order.
	Revision uint64 `cbor:"4,keyasint"`
}

// Readable reports whether the order names a version and a duration.
func (o Order) Readable() bool { return o.To != "" && o.Duration > 0 }

// Phase is the phase of a roll-out.
type Phase string

// Phases. A record moves from Trial to Shift to Completed, or from Trial or Shift to Reverted.
const (
	// Trial sends a bounded share of the requests to the candidate.
	Trial Phase = "trial"
	// Shift sends all new requests to the candidate while the old servers drain.
	Shift Phase = "shift"
	// Completed means that only the new version is in use.
	Completed Phase = "completed"
	// Reverted means that only the old versions are in use.
	Reverted Phase = "reverted"
)

// InProgress reports whether the roll-out is still undecided.
func (p Phase) InProgress() bool { return p == Trial || p == Shift }

// rank returns the position of the phase in a roll-out, by which stale records are detected.
func (p Phase) rank() int {
	switch p {
	case Trial:
		return 1
	case Shift:
		return 2
	case Completed, Reverted:
		return 3
	}
	return 0
}

// Record is the persistent state of a service's roll-out, stored as JSON.
type Record struct {
	Service string `json:"service"`
	To      string `json:"to"`
	// Order is the revision of the order that the record belongs to.
	Order uint64 `json:"order"`
	// Fencing is the fencing token of the holder that wrote the record.
	Fencing uint64 `json:"fencing"`
	Phase   Phase  `json:"phase"`
	// Reason describes what led to the phase.
	Reason string `json:"reason,omitempty"`
	// StartedMS is when a holder first read the order, in milliseconds since 1970, and
	// DurationMS the order's duration in milliseconds.
	StartedMS  int64 `json:"started_ms"`
	DurationMS int64 `json:"duration_ms"`
	// From holds the versions in use when the order was made.
	From []string `json:"from,omitempty"`
	// Barred holds versions that must get no requests.
	Barred []string `json:"barred,omitempty"`
	// Bad is set if a reverted version failed the evaluation, and not if it was reverted for
	// another reason.
	Bad bool `json:"bad,omitempty"`
	// Withdrawn is set if the operator deleted the order.
	Withdrawn bool `json:"withdrawn,omitempty"`
	// Evidence is the sum over all entry instances.
	Evidence Evidence `json:"evidence"`
}

// Limits bounds the exposure to an untrusted version.
type Limits struct {
	// ExposureShare is the share of a service's requests that a bad version may get between the
	// order and its deadline, over all entry instances. ExposureSlack is the number of requests
	// allowed on top of that.
	ExposureShare, ExposureSlack float64
	// Rollback is the maximum time from the 50th bad answer of a version to the last request
	// sent to it.
	Rollback time.Duration
}

// State is an entry instance's view of the store.
type State struct {
	Orders  []Order
	Records []Record
	// Entries is the number of entry instances.
	Entries int
	// StartedMS is when this process started, in milliseconds since 1970.
	StartedMS int64
	// OldServers is the number of backend servers of versions other than the ordered one, by
	// service. For a missing service the number is unknown. With 0 only the ordered version exists,
	// and it stays in use while its order has no record.
	OldServers map[string]int
}

// Permit is the holder's lease on a phase of a roll-out.
type Permit struct {
	Service string `cbor:"1,keyasint"`
	Order   uint64 `cbor:"2,keyasint"`
	Phase   Phase  `cbor:"3,keyasint"`
}

// Pick is the set of versions that an attempt may use. The zero value restricts nothing.
type Pick struct {
	// Candidate is set if the attempt goes to the candidate of a roll-out in progress. In Trial
	// it counts towards the exposure once it is sent.
	Candidate bool
	// Only is the one version that may be used, empty for any.
	Only string
	// Excluded holds the excluded versions.
	Excluded []string
	// MaxServers is the maximum number of servers of Only in use; 0 means no limit.
	MaxServers int
}

// Attempt describes an attempt sent to a backend server.
type Attempt struct {
	Service, Route, Server string
	Candidate              bool
	// Estimate is the expected time to the first event or answer.
	Estimate time.Duration
}

// Answer is the result of an attempt.
type Answer struct {
	// Attempt is the number that Recorder.Began returned, 0 if Began was not called.
	Attempt                uint64
	Service, Route, Server string
	Candidate              bool
	// Failed is set if the server failed the request. Attempts that did not run, and those
	// cancelled by the caller or by this instance, are not reported.
	Failed bool
	// FirstRatio is the time to the first event or answer divided by its estimate, and
	// WholeRatio the same for the whole answer; 0 if there was none.
	FirstRatio, WholeRatio float64
}

// Report is an entry instance's report about one roll-out, sent to the holder. An instance that
// has not applied the order yet reports Order 0.
type Report struct {
	Service     string `cbor:"1,keyasint"`
	Order       uint64 `cbor:"2,keyasint"`
	Instance    string `cbor:"3,keyasint"`
	Incarnation uint64 `cbor:"4,keyasint"`
	// Applied is the phase that the instance's picks follow.
	Applied Phase `cbor:"5,keyasint"`
	// InFlightOld is the number of requests in flight at servers of old versions, and InFlight
	// that of all requests in flight.
	InFlightOld int `cbor:"6,keyasint"`
	InFlight    int `cbor:"7,keyasint"`
	// Evidence is cumulative since the process received the order.
	Evidence Evidence `cbor:"8,keyasint"`
}

// Servers is the number of a service's ready backend servers of one version, and of their slots.
type Servers struct{ Count, Slots int }

// Stored is a record with its revision in the store, 0 if the store has none.
type Stored struct {
	Record
	Revision uint64
}

// Input is the input of Decider.Decide.
type Input struct {
	Fencing uint64
	Orders  []Order
	// Records holds the records in the store.
	Records []Stored
	// Servers holds the ready servers by service and version. A version whose servers exist but
	// are not ready is present with a Count of 0.
	Servers map[string]map[string]Servers
	// Reports holds the latest report of each instance, including the holder. Unheard is the
	// number of live instances without a recent report.
	Reports        []Report
	MissingReports int
}

// Step is the state transition of a decision, for logs.
type Step string

// Steps of a roll-out. A decision without a step only renews the permit.
const (
	StepTrial     Step = "trial"
	StepShift     Step = "shift"
	StepCompleted Step = "completed"
	StepReverted  Step = "reverted"
	// StepRepeated writes the record of an equal, earlier order again under the new order.
	StepRepeated Step = "repeated"
	// StepWithdrawn records that the operator deleted the order.
	StepWithdrawn Step = "withdrawn"
	// StepEvidence saves the evidence; the phase is unchanged.
	StepEvidence Step = "evidence"
	// StepTakeover reports the first evaluation of a record that another holder wrote.
	StepTakeover Step = "takeover"
	// StepUnreadable reports an order that cannot be decoded, once for each revision.
	StepUnreadable Step = "unreadable"
)

// Decision is a record to write on condition that the stored record and the order still have the
// given revisions. Without Write it only grants a permit.
type Decision struct {
	Record   Record
	Revision uint64
	// OrderRevision is the revision that the order's key must have, 0 for a key that must not
	// exist. It differs from Record.Order if the order was withdrawn or cannot be decoded.
	OrderRevision uint64
	Write         bool
	// Permit is set if the holder grants a permit for the record's phase.
	Permit bool
	// Step is the transition. Repeated is set if the same step was returned before and its write
	// has not succeeded; a caller logs each step once, without Repeated.
	Step     Step
	Repeated bool
	// Finding is the test result that led to the step.
	Finding Finding
	// WrittenRevision is the revision of the record after an accepted write, 0 if the store did not
	// return it. The caller sets it before it calls Decider.HandleWriteResult; without it the next write
	// waits until the view of the store shows the record.
	WrittenRevision uint64
}

// WriteResult is the result of a write.
type WriteResult int

// Results of a write.
const (
	// Accepted means that the store holds the record.
	Accepted WriteResult = iota
	// Conflict means that the record or the order had another revision.
	Conflict
	// Unknown means that the reply was lost: the write may have taken effect, or may still do
	// so.
	Unknown
	// NotWritten means that the write certainly had no effect.
	NotWritten
)
