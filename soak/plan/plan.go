// Package plan generates the plan of a soak run from a seed: its size and the faults to inject.
//
// Plans are deterministic: a seed gives the same plan on every machine.
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

// Kinds of faults. Faults of entry instances and of backend servers have a target.
const (
	// KillEntry sends SIGKILL to an entry instance, and restarts it at the end of the fault.
	KillEntry Kind = "kill_entry"
	// PauseEntry suspends an entry instance with SIGSTOP, and resumes it at the end.
	PauseEntry Kind = "pause_entry"
	// StopEntry sends SIGTERM to an entry instance, and restarts it once it has exited.
	StopEntry Kind = "stop_entry"
	// ReloadEntry sends SIGHUP to an entry instance.
	ReloadEntry Kind = "hang_up_entry"
	// StoreLink, CloudLink, PeerLink and BackendLink disturb the connections from an entry
	// instance to the store, from it to the cloud API, from its peers to it, and from all
	// instances to a backend server.
	StoreLink   Kind = "store_link"
	CloudLink   Kind = "cloud_link"
	PeerLink    Kind = "peer_link"
	BackendLink Kind = "backend_link"
	// KillBackend ends a backend server, and starts a new incarnation with the same id.
	KillBackend Kind = "kill_backend"
	// DrainBackend marks a backend server as leaving, and ends it at the end of the fault.
	DrainBackend Kind = "drain_backend"
	// MisbehavingBackend makes a backend server misbehave.
	MisbehavingBackend Kind = "wrong_backend"
	// LimitBackend, RetryAfterBackend and LeaveBackend make a backend server send backpressure
	// headers: a rate limit, refusals with Retry-After, or the announcement that it leaves.
	// EndlessBackend makes it send endless or duplicate responses.
	LimitBackend      Kind = "limit_backend"
	RetryAfterBackend Kind = "close_backend"
	LeaveBackend      Kind = "leave_backend"
	EndlessBackend    Kind = "endless_backend"
	// StoreDown, StoreSlow, StaleStore and LoseStoreResponses are faults of the store: it is
	// unavailable, slow, returns old data, or loses responses.
	StoreDown          Kind = "store_down"
	StoreSlow          Kind = "store_slow"
	StaleStore         Kind = "store_past"
	LoseStoreResponses Kind = "store_loses"
	// Publish writes several configurations in quick succession.
	Publish Kind = "publish"
	// Rollout orders a new version of a service: the plain one for Target 0, the engines for 1.
	// Number states whether the version is good, bad, or bad on one route.
	Rollout Kind = "rollout"
)

// Values of Fault.Number for Rollout.
const (
	GoodVersion = 1 + iota
	BadVersion
	BadOnOneRoute
)

// Disturbance is the kind of fault of a link.
type Disturbance string

// Disturbances. Cuts drop nothing but stop forwarding: towards the target, back from it, or both.
const (
	Delay       Disturbance = "delay"
	Reset       Disturbance = "reset"
	CutForward  Disturbance = "cut_there"
	CutBackward Disturbance = "cut_back"
	Silence     Disturbance = "silence"
)

// Fault is one fault of a plan.
type Fault struct {
	Kind Kind
	// Target is the index of the entry instance or backend server.
	Target      int
	At          time.Duration
	For         time.Duration
	Disturbance Disturbance
	// Number selects the misbehaviour, or is the number of configurations or lost responses.
	Number int
}

// End returns the end of the fault, relative to the start of the run.
func (f Fault) End() time.Duration { return f.At + f.For }

// Size holds the upper bounds of a plan.
type Size struct {
	Entries, Backends, Callers, Faults int
	Length                             time.Duration
}

// Usual is the default size: at most a few dozen processes and servers.
var Usual = Size{Entries: 8, Backends: 12, Callers: 24, Faults: 16, Length: 12 * time.Second}

// Short is the size of the run in CI.
var Short = Size{Entries: 3, Backends: 6, Callers: 12, Faults: 8, Length: 8 * time.Second}

// Large is close to the limits of one machine.
var Large = Size{Entries: 60, Backends: 40, Callers: 80, Faults: 60, Length: 20 * time.Second}

// Plan describes one run.
type Plan struct {
	Seed    uint64
	Entries int
	// Plain and Engines are the numbers of backend servers of the two services.
	Plain, Engines int
	Callers        int
	Length         time.Duration
	// Faults are sorted by their start.
	Faults []Fault
}

const (
	minEntries  = 2
	minBackends = 2
	minFaults   = 3
	// quietShare is the fraction of a run before the first fault, in which callers start.
	quietShare = 0.1
	// minFaultDuration and maxFaultDuration bound the duration of a fault; the maximum exceeds
	// the lease of a duty.
	minFaultDuration = 200 * time.Millisecond
	maxFaultDuration = 7 * time.Second
	// minLeavingDuration is how long a leaving server stays at least: longer than the bound
	// within which new requests must stop.
	minLeavingDuration = 4 * time.Second
	// minStaleDuration bounds StaleStore from below: a configuration has to propagate before the
	// store returns data that does not contain it.
	minStaleDuration = 3 * time.Second
	// maxBackpressureFaults bounds the number of backpressure faults. minBackpressureDuration is
	// long enough for invariants that apply only some seconds after the first response.
	maxBackpressureFaults   = 3
	minBackpressureDuration = 6 * time.Second
	// maxPublications bounds the configurations of one fault.
	maxPublications = 6
	// One in rolloutEvery seeds has a roll-out; minOrderDuration and maxOrderDuration bound its
	// duration.
	rolloutEvery     = 3
	minOrderDuration = 6 * time.Second
	maxOrderDuration = 10 * time.Second
	// maxDelay bounds the delay of a link or of the store.
	maxDelay = 300 * time.Millisecond
)

// weights holds the relative frequency of each kind.
var weights = []struct {
	kind   Kind
	weight int
}{
	{KillEntry, 4},
	{PauseEntry, 4},
	{StopEntry, 4},
	{ReloadEntry, 1},
	{StoreLink, 3},
	{CloudLink, 2},
	{PeerLink, 3},
	{BackendLink, 4},
	{KillBackend, 3},
	{DrainBackend, 4},
	{MisbehavingBackend, 5},
	{StoreDown, 2},
	{StoreSlow, 1},
	{StaleStore, 2},
	{LoseStoreResponses, 3},
	{Publish, 4},
}

var disturbances = []Disturbance{Delay, Reset, CutForward, CutBackward, Silence}

// New generates the plan of a seed.
func New(seed uint64, size Size) Plan {
	r := rand.New(rand.NewPCG(seed, 0))
	between := func(least, most int) int { return least + r.IntN(most-least+1) }
	p := Plan{
		Seed: seed, Entries: between(minEntries, size.Entries), Length: size.Length,
		Plain: between(minBackends, size.Backends/2), Engines: between(minBackends, size.Backends/2),
		Callers: between(size.Callers/2, size.Callers),
	}
	var kinds []Kind
	for _, w := range weights {
		kinds = append(kinds, slices.Repeat([]Kind{w.kind}, w.weight)...)
	}
	for range between(minFaults, size.Faults) {
		f := Fault{Kind: kinds[r.IntN(len(kinds))], Disturbance: disturbances[r.IntN(len(disturbances))], Number: between(1, maxPublications)}
		f.At = time.Duration((quietShare + (1-quietShare)*r.Float64()) * float64(size.Length))
		f.For = min(minFaultDuration+time.Duration(r.ExpFloat64()*float64(time.Second)), maxFaultDuration, size.Length-f.At)
		f.Target = r.IntN(p.Entries)
		switch f.Kind {
		case KillBackend, DrainBackend, MisbehavingBackend, BackendLink:
			f.Target = r.IntN(p.Plain + p.Engines)
		}
		switch f.Kind {
		case DrainBackend:
			f.For = max(f.For, minLeavingDuration)
			f.At = min(f.At, size.Length-f.For)
		case StaleStore:
			f.For = max(f.For, minStaleDuration)
			f.At = min(f.At, size.Length-f.For)
		}
		p.Faults = append(p.Faults, f)
	}
	p.Faults = append(p.Faults, drawBackpressure(seed, size, p.Plain+p.Engines)...)
	p.Faults = append(p.Faults, drawRollout(seed, size)...)
	slices.SortStableFunc(p.Faults, func(a, b Fault) int { return int(a.At - b.At) })
	return p
}

var backpressureKinds = []Kind{LimitBackend, LimitBackend, RetryAfterBackend, LeaveBackend, EndlessBackend}

// drawBackpressure generates backpressure faults. They use a separate random source, so that the
// other faults of a seed are the same as before these faults existed.
func drawBackpressure(seed uint64, size Size, backends int) []Fault {
	r := rand.New(rand.NewPCG(seed, 1))
	var faults []Fault
	for range r.IntN(maxBackpressureFaults + 1) {
		f := Fault{Kind: backpressureKinds[r.IntN(len(backpressureKinds))], Target: r.IntN(backends), Number: 1 + r.IntN(maxPublications)}
		f.For = minBackpressureDuration + time.Duration(r.Float64()*float64(size.Length-minBackpressureDuration)/2)
		f.At = time.Duration(r.Float64() * float64(size.Length-f.For))
		faults = append(faults, f)
	}
	return faults
}

// drawRollout generates the order of a run, if its seed has one. It uses a separate random source
// for the same reason as drawBackpressure.
func drawRollout(seed uint64, size Size) []Fault {
	if seed%rolloutEvery != 1 {
		return nil
	}
	r := rand.New(rand.NewPCG(seed, 2))
	f := Fault{Kind: Rollout, Target: r.IntN(2), Number: GoodVersion + r.IntN(BadOnOneRoute)}
	quiet := time.Duration(quietShare * float64(size.Length))
	most := min(maxOrderDuration, size.Length-quiet)
	f.For = minOrderDuration + time.Duration(r.Float64()*float64(most-minOrderDuration))
	f.At = quiet + time.Duration(r.Float64()*float64(size.Length-quiet-f.For))
	return []Fault{f}
}

// DelayOf returns the delay that a fault of kind Delay or StoreSlow adds.
func DelayOf(f Fault) time.Duration { return maxDelay * time.Duration(f.Number) / maxPublications }
