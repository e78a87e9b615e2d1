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

// monotime is a monotonic time in nanoseconds. The estimates use it instead of time.Time because
// every choice compares several times for every candidate.
type monotime int64

// toMonotime converts a time to monotonic nanoseconds.
func toMonotime(t time.Time) monotime { return monotime(clock.Monotonic(t)) }

// since returns the time elapsed since an earlier time.
func (m monotime) since(earlier monotime) time.Duration { return time.Duration(m - earlier) }

// backend is the state of one incarnation of a backend server. The fields that every choice reads
// come first.
type backend struct {
	column     int
	hash       uint64
	speed      speed
	rtt        time.Duration
	leaving    bool
	unlisted   bool
	stale      bool
	reported   bool
	reportedAt monotime
	peerLoadAt monotime
	// hasOccupancy reports whether peerLoad comes from the occupancy sums over all entry instances.
	hasOccupancy bool

	// reportedInFlight and reportedPrefill are the requests and the prompt tokens of the last load
	// report.
	reportedInFlight int
	reportedPrefill  int
	peerLoad         serverLoad
	ownLoad          serverLoad
	// ownAnswerTokens is the number of answer tokens still expected by this instance's attempts.
	ownAnswerTokens int
	unsettled       unsettled
	observedLatency observedLatency
	utilization     utilization
	health          health
	limiter         backpressure.Server

	Backend
	group *group
	// deadline is when a leaving server stops; unlistedAt is when the server disappeared from the
	// instance list.
	deadline   time.Time
	unlistedAt time.Time
	load       engine.Load
	// nextEvent is the expected sequence number of the next cache event.
	nextEvent uint64
}

// serverLoad is the work that entry instances have in flight at a backend server: requests, and
// prompt tokens not yet computed.
type serverLoad struct {
	inFlight int
	prefill  int
}

// newBackend returns the state of an incarnation without history.
func newBackend(b Backend) *backend {
	return &backend{Backend: b, hash: hashID(b.ID), nextEvent: 1}
}

// report applies a load report that describes the server at the given time.
func (b *backend) report(described monotime, load engine.Load) {
	if b.reported {
		computed := time.Duration(float64(load.ComputedTotal-b.load.ComputedTotal) * b.speed.prefill)
		b.utilization.add(described.since(b.reportedAt), computed, float64(load.Running)/float64(b.speed.slots))
	}
	b.load, b.reportedAt, b.reported = load, described, true
	b.reportedInFlight = load.Running + load.Queued
	b.reportedPrefill = load.PrefillTokens
	b.updateSpeed()
	b.unsettled.discardReported(described)
}

// setPeerLoad replaces the load that the other entry instances have at the server.
func (b *backend) setPeerLoad(now monotime, peerLoad membership.BackendUsage) {
	b.peerLoad = serverLoad{inFlight: peerLoad.InFlight, prefill: peerLoad.PrefillTokens}
	b.peerLoadAt, b.hasOccupancy = now, false
}

// utilization is the share of a server's capacity in use, averaged over the recent load reports.
type utilization struct {
	// prefill is the share of time spent on prompts, slots the share of occupied slots.
	prefill float64
	slots   float64
}

// utilizationTimeConstant is the time constant of the moving average.
const utilizationTimeConstant = 3 * time.Second

// add applies a load report received some time after the previous one.
func (w *utilization) add(passed, computed time.Duration, slots float64) {
	if passed <= 0 {
		return
	}
	weight := 1 - math.Exp(-passed.Seconds()/utilizationTimeConstant.Seconds())
	w.prefill += weight * (min(max(float64(computed)/float64(passed), 0), 1) - w.prefill)
	w.slots += weight * (slots - w.slots)
}

// total returns the share of the server's capacity in use.
func (w *utilization) total() float64 { return w.prefill + w.slots }

// group holds the backend servers of one service and the index of their caches.
type group struct {
	// backends is sorted by price, cheapest first.
	backends     []*backend
	cache        *cacheIndex
	hotPrefixes  *simplelru.LRU[prefix.Block, *prefixHits]
	columns      []*backend
	errors       deviations
	prefillRates prefillRates
}

// newGroup returns a group without backend servers.
func newGroup() *group {
	return &group{cache: newCacheIndex(maxBlocks), hotPrefixes: newHotPrefixes()}
}

// add adds a backend server and assigns it a free column of the cache index.
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
	g.cache.grow(len(g.columns))
}

// sort orders the servers by price, and by id hash for equal prices, so that the order is the same
// at all entry instances.
func (g *group) sort() {
	slices.SortFunc(g.backends, func(a, b *backend) int {
		return cmp.Or(cmp.Compare(a.speed.price, b.speed.price), cmp.Compare(a.hash, b.hash))
	})
}

// remove deletes a backend server and its column of the cache index.
func (g *group) remove(b *backend) {
	g.cache.clear(b.column)
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
