package route

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/hashicorp/golang-lru/v2/simplelru"

	"papayaport.dev/serving/request/prefix"
)

const (
	// maxHotPrefixes limits the number of prefixes of one service whose hits are counted.
	maxHotPrefixes = 1024
	// hitRateTimeConstant is the time constant of the moving average of the hit rate.
	hitRateTimeConstant = 30 * time.Second
)

// HotPrefix is a prefix shared by several requests through this entry instance.
type HotPrefix struct {
	// Blocks identifies the prefix and all shorter ones, shortest first.
	Blocks []prefix.Block
	Tokens int
	// HitsPerSecond is the recent rate of requests that begin with the prefix, not counting the
	// first one.
	HitsPerSecond float64
	// CachedElsewhere reports whether another server that is not leaving has the prefix cached as well.
	CachedElsewhere bool
}

// prefixHits counts the requests that begin with one prefix.
type prefixHits struct {
	blocks []prefix.Block
	rate   float64
	at     monotime
}

// newHotPrefixes returns an empty LRU of hit counts.
func newHotPrefixes() *simplelru.LRU[prefix.Block, *prefixHits] {
	hot, err := simplelru.NewLRU[prefix.Block, *prefixHits](maxHotPrefixes, nil)
	if err != nil {
		panic(err) // the size is a positive constant
	}
	return hot
}

// countHit counts a request under its home block, and truncates the recorded chain to the part that
// all its requests share.
func (g *group) countHit(now monotime, blocks []prefix.Block) {
	if len(blocks) == 0 {
		return
	}
	home := homeBlock(blocks)
	h, known := g.hotPrefixes.Get(home)
	if !known {
		g.hotPrefixes.Add(home, &prefixHits{blocks: slices.Clone(blocks), at: now})
		return
	}
	h.rate = h.rateAt(now) + 1/hitRateTimeConstant.Seconds()
	h.at = now
	h.blocks = h.blocks[:sharedLength(h.blocks, blocks)]
}

// rateAt returns the hit rate at a time, in requests per second.
func (h *prefixHits) rateAt(now monotime) float64 {
	return h.rate * math.Exp(-now.since(h.at).Seconds()/hitRateTimeConstant.Seconds())
}

// sharedLength returns the length of the common start of two chains. Every block identifies a whole
// prefix, so the chains differ from the first difference on.
func sharedLength(a, b []prefix.Block) int {
	length := min(len(a), len(b))
	for i := range length {
		if a[i] != b[i] {
			return i
		}
	}
	return length
}

// HotPrefixes returns the prefixes that a backend server has cached and that several requests through this
// entry instance share, most frequently used first.
func (t *Table) HotPrefixes(now time.Time, id string) []HotPrefix {
	t.mu.Lock()
	defer t.mu.Unlock()
	b := t.backends[id]
	if b == nil {
		return nil
	}
	var out []HotPrefix
	for _, h := range b.group.hotPrefixes.Values() {
		if rate := h.rateAt(toMonotime(now)); rate > 0 && len(h.blocks) > 0 {
			out = b.appendHotPrefix(out, h.blocks, rate)
		}
	}
	slices.SortStableFunc(out, func(a, b HotPrefix) int { return cmp.Compare(b.HitsPerSecond, a.HitsPerSecond) })
	return out
}

// appendHotPrefix appends a prefix when the server has all of it cached.
func (b *backend) appendHotPrefix(out []HotPrefix, blocks []prefix.Block, rate float64) []HotPrefix {
	depths := b.group.cache.depth(blocks)
	if int(depths[b.column]) < len(blocks) {
		return out
	}
	h := HotPrefix{Blocks: slices.Clone(blocks), Tokens: len(blocks) * prefix.BlockTokens, HitsPerSecond: rate}
	for _, other := range b.group.backends {
		if other != b && !other.leaving && !other.unlisted && int(depths[other.column]) == len(blocks) {
			h.CachedElsewhere = true
		}
	}
	return append(out, h)
}
