package rollout

import (
	"sync"
	"time"
)

// Decider decides about all roll-outs while its entry instance holds the duties.
type Decider struct {
	mu     sync.Mutex
	limits Limits
}

// NewDecider returns a decider that knows no roll-outs.
func NewDecider(limits Limits) *Decider { return &Decider{limits: limits} }

// Forget drops what was decided, for a process that takes the duty over.
func (d *Decider) Forget() {}

// Decide returns the records to write and the permits to tell. Now is the time of day.
func (d *Decider) Decide(now time.Time, in Input) []Decision { return nil }

// Written takes in what became of a write.
func (d *Decider) Written(now time.Time, decision Decision, outcome Outcome) {}
