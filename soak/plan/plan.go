// Package plan draws a soak run from a seed: its size and the faults that are injected.
//
// Drawing is pure: one seed gives one plan on every machine.
//
// # Usage
//
//	p := plan.New(seed, plan.Usual)
//	for _, fault := range p.Faults { ... }
package plan

import (
	"math/rand/v2"
	"slices"
	"time"
)

// Kind is a kind of fault.
type Kind string

// Kinds of faults. Those of entries and backend servers have a target.
const (
	// KillEntry ends an entry instance with SIGKILL, and starts it again at the end.
	KillEntry Kind = "kill_entry"
	// PauseEntry stops an entry instance with SIGSTOP, and lets it go on at the end.
	PauseEntry Kind = "pause_entry"
	// StopEntry ends an entry instance with SIGTERM, and starts it again once it has gone.
	StopEntry Kind = "stop_entry"
	// HangUpEntry sends SIGHUP.
	HangUpEntry Kind = "hang_up_entry"
	// StoreLink, PeerLink and BackendLink disturb the way of an entry instance to the
	// store, of its peers to it, and of all to a backend server.
	StoreLink   Kind = "store_link"
	CloudLink   Kind = "cloud_link"
	PeerLink    Kind = "peer_link"
	BackendLink Kind = "backend_link"
	// KillBackend ends a backend server, which starts again under its id as a new one.
	KillBackend Kind = "kill_backend"
	// DrainBackend announces that a backend server leaves, and ends it at the end.
	DrainBackend Kind = "drain_backend"
	// WrongBackend lets a backend server misbehave.
	WrongBackend Kind = "wrong_backend"
	// LimitBackend, CloseBackend and LeaveBackend let a backend server ask for something in its
	// answers: a limit, nothing for a while, or nothing more, and EndlessBackend answer without
	// end or twice.
	LimitBackend   Kind = "limit_backend"
	CloseBackend   Kind = "close_backend"
	LeaveBackend   Kind = "leave_backend"
	EndlessBackend Kind = "endless_backend"
	// StoreDown, StoreSlow, StorePast and StoreLoses are faults of the store itself.
	StoreDown  Kind = "store_down"
	StoreSlow  Kind = "store_slow"
	StorePast  Kind = "store_past"
	StoreLoses Kind = "store_loses"
	// Publish writes a few configurations in a row.
	Publish Kind = "publish"
	// Rollout orders another version of a service, Target 0 the plain one and 1 the engines.
	// Number tells whether the version is good, bad, or bad on one route.
	Rollout Kind = "rollout"
)

// Numbers of Rollout.
const (
	GoodVersion = 1 + iota
	BadVersion
	BadOnOneRoute
)

// Way is how a link is disturbed.
type Way string

// Ways.
const (
	Delay    Way = "delay"
	Reset    Way = "reset"
	CutThere Way = "cut_there"
	CutBack  Way = "cut_back"
	Silence  Way = "silence"
)

// Fault is one disturbance.
type Fault struct {
	Kind Kind
	// Target is the number of the entry instance or backend server.
	Target int
	At     time.Duration
	For    time.Duration
	Way    Way
	// Number chooses the misbehaviour, or is how many configurations are published.
	Number int
}

// End returns when the fault is over.
func (f Fault) End() time.Duration { return f.At + f.For }

// Size bounds what a plan may have.
type Size struct {
	Entries, Backends, Callers, Faults int
	Length                             time.Duration
}

// Usual is the usual size: a few dozen processes and servers at most.
var Usual = Size{Entries: 8, Backends: 12, Callers: 24, Faults: 16, Length: 12 * time.Second}

// Short is the size of the run in CI.
var Short = Size{Entries: 3, Backends: 6, Callers: 12, Faults: 8, Length: 8 * time.Second}

// Large goes towards the limits of one machine.
var Large = Size{Entries: 60, Backends: 40, Callers: 80, Faults: 60, Length: 20 * time.Second}

// Plan is one run.
type Plan struct {
	Seed    uint64
	Entries int
	// Plain and Engines are the numbers of backend servers of each service.
	Plain, Engines int
	Callers        int
	Length         time.Duration
	// Faults are in the order of their time.
	Faults []Fault
}

const (
	leastEntries  = 2
	leastBackends = 2
	leastFaults   = 3
	// quietShare is the share of a run at its start without faults, for callers to begin.
	quietShare = 0.1
	// shortest and longest bound a fault; the longest outlasts a duty's lease.
	shortest = 200 * time.Millisecond
	longest  = 7 * time.Second
	// leastLeaving is how long a leaving server stays: longer than new work may come.
	leastLeaving = 4 * time.Second
	// leastPast is how long it takes at least until the store has answered from the past: a
	// configuration spreads first, which the past lacks.
	leastPast = 3 * time.Second
	// mostWishes bounds the faults of servers that ask for something, leastWish is how long each
	// lasts at least, so that bounds that begin seconds later are seen.
	mostWishes = 3
	leastWish  = 6 * time.Second
	// mostPublished bounds the configurations of one fault.
	mostPublished = 6
	// rolloutEvery is which part of the seeds has a roll-out, shortestOrder and longestOrder
	// bound its time.
	rolloutEvery  = 3
	shortestOrder = 6 * time.Second
	longestOrder  = 10 * time.Second
	// mostDelay bounds the delay of a link or the store.
	mostDelay = 300 * time.Millisecond
)

// weights says how often each kind is drawn.
var weights = []struct {
	kind   Kind
	weight int
}{
	{KillEntry, 4},
	{PauseEntry, 4},
	{StopEntry, 4},
	{HangUpEntry, 1},
	{StoreLink, 3},
	{CloudLink, 2},
	{PeerLink, 3},
	{BackendLink, 4},
	{KillBackend, 3},
	{DrainBackend, 4},
	{WrongBackend, 5},
	{StoreDown, 2},
	{StoreSlow, 1},
	{StorePast, 2},
	{StoreLoses, 3},
	{Publish, 4},
}

var ways = []Way{Delay, Reset, CutThere, CutBack, Silence}

// New draws a plan.
func New(seed uint64, size Size) Plan {
	r := rand.New(rand.NewPCG(seed, 0))
	between := func(least, most int) int { return least + r.IntN(most-least+1) }
	p := Plan{
		Seed: seed, Entries: between(leastEntries, size.Entries), Length: size.Length,
		Plain: between(leastBackends, size.Backends/2), Engines: between(leastBackends, size.Backends/2),
		Callers: between(size.Callers/2, size.Callers),
	}
	var kinds []Kind
	for _, w := range weights {
		kinds = append(kinds, slices.Repeat([]Kind{w.kind}, w.weight)...)
	}
	for range between(leastFaults, size.Faults) {
		f := Fault{Kind: kinds[r.IntN(len(kinds))], Way: ways[r.IntN(len(ways))], Number: between(1, mostPublished)}
		f.At = time.Duration((quietShare + (1-quietShare)*r.Float64()) * float64(size.Length))
		f.For = min(shortest+time.Duration(r.ExpFloat64()*float64(time.Second)), longest, size.Length-f.At)
		f.Target = r.IntN(p.Entries)
		switch f.Kind {
		case KillBackend, DrainBackend, WrongBackend, BackendLink:
			f.Target = r.IntN(p.Plain + p.Engines)
		}
		switch f.Kind {
		case DrainBackend:
			f.For = max(f.For, leastLeaving)
			f.At = min(f.At, size.Length-f.For)
		case StorePast:
			f.For = max(f.For, leastPast)
			f.At = min(f.At, size.Length-f.For)
		}
		p.Faults = append(p.Faults, f)
	}
	p.Faults = append(p.Faults, wishes(seed, size, p.Plain+p.Engines)...)
	p.Faults = append(p.Faults, rollout(seed, size)...)
	slices.SortStableFunc(p.Faults, func(a, b Fault) int { return int(a.At - b.At) })
	return p
}

var wishKinds = []Kind{LimitBackend, LimitBackend, CloseBackend, LeaveBackend, EndlessBackend}

// wishes draws faults of servers that ask for something. They have a random source of their
// own, so that the plans of seeds that failed before these faults existed keep what they had.
func wishes(seed uint64, size Size, backends int) []Fault {
	r := rand.New(rand.NewPCG(seed, 1))
	var faults []Fault
	for range r.IntN(mostWishes + 1) {
		f := Fault{Kind: wishKinds[r.IntN(len(wishKinds))], Target: r.IntN(backends), Number: 1 + r.IntN(mostPublished)}
		f.For = leastWish + time.Duration(r.Float64()*float64(size.Length-leastWish)/2)
		f.At = time.Duration(r.Float64() * float64(size.Length-f.For))
		faults = append(faults, f)
	}
	return faults
}

// rollout draws the order of a run in every third one, with a random source of its own too.
func rollout(seed uint64, size Size) []Fault {
	if seed%rolloutEvery != 1 {
		return nil
	}
	r := rand.New(rand.NewPCG(seed, 2))
	f := Fault{Kind: Rollout, Target: r.IntN(2), Number: GoodVersion + r.IntN(BadOnOneRoute)}
	quiet := time.Duration(quietShare * float64(size.Length))
	most := min(longestOrder, size.Length-quiet)
	f.For = shortestOrder + time.Duration(r.Float64()*float64(most-shortestOrder))
	f.At = quiet + time.Duration(r.Float64()*float64(size.Length-quiet-f.For))
	return []Fault{f}
}

// DelayOf returns how long a delay that belongs to a fault is.
func DelayOf(f Fault) time.Duration { return mostDelay * time.Duration(f.Number) / mostPublished }
