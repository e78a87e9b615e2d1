// Package rollout moves a service's traffic to another version of its backend servers, or
// keeps it at the old one when the new version is bad.
//
// An operator's Order names the candidate version and a duration. The Decider, at the one
// entry instance that holds the duties, keeps a Record for each service in the platform's
// store and judges the candidate by the pooled Reports of all entry instances. The Gate, at
// every entry instance, decides for each attempt which versions it may use, and the Recorder
// counts how attempts ended.
//
// Everything here is pure: callers pass the time, records, permits and outcomes, and get
// picks, reports and decisions back. Gate, Recorder and Decider are each safe for several
// goroutines and call nothing while they are locked.
//
// # Usage
//
// At every entry instance, with times of the boot clock:
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
// For each attempt; if no server of pick.Only can be chosen, it is picked again with repeat:
//
//	pick := gate.Pick(now, "model-bench", "filing-review", false)
//	candidate := gate.IsCandidate("model-bench", version)
//	gate.Sent(now, "model-bench", "filing-review", candidate)
//	number := recorder.Began(now, attempt)
//	recorder.First(now, number)
//	recorder.Answered(answer) // or recorder.Dropped(number)
//
// At the holder of the duties, with the time of day:
//
//	decider := rollout.NewDecider(limits)
//	for _, decision := range decider.Decide(now, input) {
//		// Log decision.Step with decision.Finding, unless decision.Again.
//		if decision.Permit {
//			permits = append(permits, permit(decision.Record))
//		}
//		if decision.Write {
//			decider.Written(now, decision, write(decision))
//		}
//	}
package rollout

import "time"

// Order is an operator's order to move a service's traffic to a version.
//
// An order that can't be read has no To or no Duration; it is passed on with its Service and
// Revision, since the key is still there: a missing order counts as withdrawn.
type Order struct {
	Service  string        `cbor:"1,keyasint"`
	To       string        `cbor:"2,keyasint"`
	Duration time.Duration `cbor:"3,keyasint"`
	// Revision is that of the order's key in the store; a new one is a new order.
	Revision uint64 `cbor:"4,keyasint"`
}

// Readable tells whether the order names a version and a duration.
func (o Order) Readable() bool { return o.To != "" && o.Duration > 0 }

// Phase is how far a roll-out is.
type Phase string

// Phases. A record moves from Trial to Shift to Completed, or from Trial or Shift to Reverted.
const (
	// Trial sends a bounded share of the requests to the candidate.
	Trial Phase = "trial"
	// Shift sends all new requests to the candidate; the old servers finish what they run.
	Shift Phase = "shift"
	// Completed has no old servers any more.
	Completed Phase = "completed"
	// Reverted has only the old version.
	Reverted Phase = "reverted"
)

// InProgress tells whether a roll-out is still to be decided.
func (p Phase) InProgress() bool { return p == Trial || p == Shift }

// rank orders the phases of one record, so that an older view can be told.
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

// Record is what lasts of a service's roll-out, as JSON in the store.
type Record struct {
	Service string `json:"service"`
	To      string `json:"to"`
	// Order is the revision of the order that the record answers.
	Order uint64 `json:"order"`
	// Fencing is the fencing number of the holder that wrote the record.
	Fencing uint64 `json:"fencing"`
	Phase   Phase  `json:"phase"`
	// Reason tells what decided the phase.
	Reason string `json:"reason,omitempty"`
	// StartedMS is when a holder first saw the order, in milliseconds since 1970, and
	// DurationMS the order's duration.
	StartedMS  int64 `json:"started_ms"`
	DurationMS int64 `json:"duration_ms"`
	// From holds the versions that served when the order came.
	From []string `json:"from,omitempty"`
	// Barred holds versions that get no requests.
	Barred []string `json:"barred,omitempty"`
	// Bad tells that a reverted version was judged bad, and not given up for another reason.
	Bad bool `json:"bad,omitempty"`
	// Withdrawn tells that the operator took the order back.
	Withdrawn bool `json:"withdrawn,omitempty"`
	// Evidence is pooled over all entry instances.
	Evidence Evidence `json:"evidence"`
}

// Limits bounds the exposure to a version that is not trusted yet.
type Limits struct {
	// ExposureShare is the share of a service's requests that a bad version may get between
	// the order and its deadline, over all entry instances, and ExposureSlack the number of
	// requests on top.
	ExposureShare, ExposureSlack float64
	// Rollback is the time after which a version that has shown itself bad gets nothing.
	Rollback time.Duration
}

// State is what an entry instance knows from its view of the store.
type State struct {
	Orders  []Order
	Records []Record
	// Entries is the number of entry instances.
	Entries int
	// BornMS is when this process started, in milliseconds since 1970.
	BornMS int64
	// OldServers counts the backend servers of other versions than the ordered one, by service.
	// A service that is missing is of unknown size; 0 means that only the ordered version
	// exists, and lets an order without a record leave it in use.
	OldServers map[string]int
}

// Permit is the holder's word that a phase of a roll-out goes on.
type Permit struct {
	Service string `cbor:"1,keyasint"`
	Order   uint64 `cbor:"2,keyasint"`
	Phase   Phase  `cbor:"3,keyasint"`
}

// Pick says which versions an attempt may use. The zero value restricts nothing.
type Pick struct {
	// Candidate tells that the attempt is for the candidate of a roll-out in progress. In trial
	// it counts towards the exposure once it is sent.
	Candidate bool
	// Only is the one version that may be used, empty for any.
	Only string
	// Not holds versions that must not be used.
	Not []string
	// Most bounds the number of servers of Only that are used; 0 is no bound.
	Most int
}

// Attempt describes an attempt that goes out to a backend server.
type Attempt struct {
	Service, Route, Server string
	Candidate              bool
	// Estimate is the expected time to the first event or answer.
	Estimate time.Duration
}

// Answer is how an attempt ended.
type Answer struct {
	// Attempt is the number that Recorder.Began returned, 0 for an attempt that was not begun there.
	Attempt                uint64
	Service, Route, Server string
	Candidate              bool
	// Failed tells that the server failed the request; what was not run, and what callers or
	// this instance gave up, is not reported at all.
	Failed bool
	// FirstRatio is the time to the first event or answer over its estimate, and WholeRatio
	// that of the whole answer; 0 when there was none.
	FirstRatio, WholeRatio float64
}

// Report is what an entry instance tells the holder of one roll-out. An instance that does not
// follow the order yet reports Order 0, so that it is known not to have applied it.
type Report struct {
	Service     string `cbor:"1,keyasint"`
	Order       uint64 `cbor:"2,keyasint"`
	Instance    string `cbor:"3,keyasint"`
	Incarnation uint64 `cbor:"4,keyasint"`
	// Applied is the phase that the instance's picks follow.
	Applied Phase `cbor:"5,keyasint"`
	// InFlightOld and InFlight are its requests at servers of old versions, and at all.
	InFlightOld int `cbor:"6,keyasint"`
	InFlight    int `cbor:"7,keyasint"`
	// Evidence is cumulative since the process saw the order.
	Evidence Evidence `cbor:"8,keyasint"`
}

// Servers counts a service's backend servers of one version that are ready for work.
type Servers struct{ Count, Slots int }

// Stored is a record with its revision in the store, 0 for one that is not there.
type Stored struct {
	Record
	Revision uint64
}

// Input is what the holder decides on.
type Input struct {
	Fencing uint64
	Orders  []Order
	// Records are those that the store holds.
	Records []Stored
	// Servers holds the ready servers by service and version. A version whose servers exist but
	// are not ready is present with a Count of 0.
	Servers map[string]map[string]Servers
	// Reports are the newest of each instance, the holder's own included, and Unheard the
	// number of live instances that did not report of late.
	Reports []Report
	Unheard int
}

// Step is what a decision does to a roll-out, for logs.
type Step string

// Steps of a roll-out. A decision without a step only renews a permit.
const (
	StepTrial     Step = "trial"
	StepShift     Step = "shift"
	StepCompleted Step = "completed"
	StepReverted  Step = "reverted"
	// StepRepeated writes the record and the status of an earlier, equal order again.
	StepRepeated Step = "repeated"
	// StepWithdrawn notes that the operator took the order back.
	StepWithdrawn Step = "withdrawn"
	// StepEvidence saves the evidence; the phase stays.
	StepEvidence Step = "evidence"
	// StepTakeover is the first look at a record that another holder wrote.
	StepTakeover Step = "takeover"
	// StepUnreadable is the first look at an order that can't be read.
	StepUnreadable Step = "unreadable"
)

// Decision is a record to write with its status, under the condition that the stored record
// still has a revision and the order is the same. Without Write it is only a permit.
type Decision struct {
	Record   Record
	Revision uint64
	// OrderRevision is the revision that the order's key must have, 0 for a key that must not
	// exist. It differs from Record.Order when the order was withdrawn or can't be read.
	OrderRevision uint64
	Write         bool
	// Permit tells that instances may go on as the record's phase says.
	Permit bool
	// Step tells what is new, and Again that the same step was returned before, because its
	// write did not succeed. A site logs a line for each decision with a step and without Again.
	Step  Step
	Again bool
	// Finding is what decided the step.
	Finding Finding
	// Written is the revision that an accepted write got, 0 where the store does not tell. The
	// site sets it before Decider.Written; without it the next write waits for the view.
	Written uint64
}

// Outcome is what became of a write.
type Outcome int

// Outcomes of a write.
const (
	// Accepted means that the store has the record.
	Accepted Outcome = iota
	// Conflict means that another record, or another order, stands there.
	Conflict
	// Unknown means that the answer was lost: the record may be there, or come to be.
	Unknown
	// NotWritten means that the store certainly does not have the record.
	NotWritten
)
