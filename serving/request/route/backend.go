package route

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/hashicorp/golang-lru/v2/simplelru"

	"papayaport.dev/serving/connection/engine"
	"papayaport.dev/serving/process/clock"
	"papayaport.dev/serving/process/membership"
	"papayaport.dev/serving/request/backpressure"
	"papayaport.dev/serving/request/prefix"
)

// moment is a steady time in nanoseconds. The estimates use it because every choice
// compares several times of every candidate.
type moment int64

// at returns the moment of a time.
func at(t time.Time) moment { return moment(clock.Steady(t)) }

// since returns the time that passed since an earlier moment.
func (m moment) since(earlier moment) time.Duration { return time.Duration(m - earlier) }

// backend is what the table knows of one incarnation of a backend server. The fields
// that every choice reads come first.
type backend struct {
	column     int
	hash       uint64
	speed      speed
	trip       time.Duration
	leaving    bool
	unlisted   bool
	stale      bool
	reported   bool
	reportedAt moment
	peersAt    moment
	// occupied tells that peers are the sums of all entry instances.
	occupied bool

	// reportedInFlight and reportedPrefill are the last report's figures in requests and
	// tokens.
	reportedInFlight int
	reportedPrefill  int
	peers            use
	own              use
	// ownAnswer is the number of answer tokens that this instance's attempts may still get.
	ownAnswer int
	unsettled unsettled
	observed  observed
	work      work
	health    health
	asked     backpressure.Server

	Backend
	group *group
	// deadline is when a leaving server goes, unlistedAt since when the list lacks one.
	deadline   time.Time
	unlistedAt time.Time
	load       engine.Load
	// nextEvent is the sequence of the next cache event.
	nextEvent uint64
}

// use is the work that entry instances have at a backend server.
type use struct {
	inFlight int
	prefill  int
}

// newBackend returns an incarnation without history.
func newBackend(b Backend) *backend {
	return &backend{Backend: b, hash: hashID(b.ID), nextEvent: 1}
}

// report takes in a load report that describes a moment.
func (b *backend) report(described moment, load engine.Load) {
	if b.reported {
		computed := time.Duration(float64(load.ComputedTotal-b.load.ComputedTotal) * b.speed.prefill)
		b.work.add(described.since(b.reportedAt), computed, float64(load.Running)/float64(b.speed.slots))
	}
	b.load, b.reportedAt, b.reported = load, described, true
	b.reportedInFlight = load.Running + load.Queued
	b.reportedPrefill = load.PrefillTokens
	b.updateSpeed()
	b.unsettled.settle(described)
}

// setPeers takes in the other entry instances' work.
func (b *backend) setPeers(now moment, peers membership.BackendUse) {
	b.peers = use{inFlight: peers.InFlight, prefill: peers.PrefillTokens}
	b.peersAt, b.occupied = now, false
}

// work is how much of a server its requests take, as a mean over the last reports.
type work struct {
	// prefill is the share of the time that goes into prompts, slots the share of the slots.
	prefill float64
	slots   float64
}

// workTime is the time constant of the mean work.
const workTime = 3 * time.Second

// add takes in a report some time after the one before.
func (w *work) add(passed, computed time.Duration, slots float64) {
	if passed <= 0 {
		return
	}
	weight := 1 - math.Exp(-passed.Seconds()/workTime.Seconds())
	w.prefill += weight * (min(max(float64(computed)/float64(passed), 0), 1) - w.prefill)
	w.slots += weight * (slots - w.slots)
}

// total returns the share of the server that is taken.
func (w *work) total() float64 { return w.prefill + w.slots }

// group is the backend servers of one service with the knowledge of their caches.
type group struct {
	// backends holds the servers, cheapest first.
	backends []*backend
	known    *knowledge
	hot      *simplelru.LRU[prefix.Block, *hits]
	columns  []*backend
	errors   deviations
	rates    rates
}

// newGroup returns a service without backend servers.
func newGroup() *group {
	return &group{known: newKnowledge(maxBlocks), hot: newHot()}
}

// add gives a backend server a column.
func (g *group) add(b *backend) {
	b.group = g
	b.updateSpeed()
	g.backends = append(g.backends, b)
	for column, other := range g.columns {
		if other == nil {
			g.columns[column] = b
			b.column = column
			return
		}
	}
	b.column = len(g.columns)
	g.columns = append(g.columns, b)
	g.known.grow(len(g.columns))
}

// sort puts the cheapest servers first, in the same order at all entry instances.
func (g *group) sort() {
	slices.SortFunc(g.backends, func(a, b *backend) int {
		return cmp.Or(cmp.Compare(a.speed.price, b.speed.price), cmp.Compare(a.hash, b.hash))
	})
}

// remove forgets a backend server and what was known of its cache.
func (g *group) remove(b *backend) {
	g.known.clear(b.column)
	g.columns[b.column] = nil
	for i, other := range g.backends {
		if other == b {
			last := len(g.backends) - 1
			copy(g.backends[i:], g.backends[i+1:])
			g.backends[last] = nil
			g.backends = g.backends[:last]
			return
		}
	}
}
