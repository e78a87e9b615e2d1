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
	// maxHot bounds the prefixes whose use is counted for one service.
	maxHot = 1024
	// hotTime is the time constant of the mean use.
	hotTime = 30 * time.Second
)

// Hot is a prefix that requests through this entry instance have in common.
type Hot struct {
	// Blocks names the prefix and all shorter ones, shortest first.
	Blocks []prefix.Block
	Tokens int
	// HitsPerSecond is the recent rate of requests that begin with the prefix, the first
	// one not counted.
	HitsPerSecond float64
	// Elsewhere tells that another server that stays holds the prefix as well.
	Elsewhere bool
}

// hits counts the use of one prefix.
type hits struct {
	blocks []prefix.Block
	rate   float64
	at     moment
}

// newHot returns the counts of a service without requests.
func newHot() *simplelru.LRU[prefix.Block, *hits] {
	hot, err := simplelru.NewLRU[prefix.Block, *hits](maxHot, nil)
	if err != nil {
		panic(err) // the size is a positive constant
	}
	return hot
}

// hit counts a request under its home block, and keeps the part of the chain that all its
// requests share.
func (g *group) hit(now moment, blocks []prefix.Block) {
	if len(blocks) == 0 {
		return
	}
	home := homeBlock(blocks)
	h, known := g.hot.Get(home)
	if !known {
		g.hot.Add(home, &hits{blocks: slices.Clone(blocks), at: now})
		return
	}
	h.rate = h.present(now) + 1/hotTime.Seconds()
	h.at = now
	h.blocks = h.blocks[:shared(h.blocks, blocks)]
}

// present returns the rate at a moment.
func (h *hits) present(now moment) float64 {
	return h.rate * math.Exp(-now.since(h.at).Seconds()/hotTime.Seconds())
}

// shared returns the length of the start that two chains share. Blocks name whole
// prefixes, so the first difference ends it.
func shared(a, b []prefix.Block) int {
	length := min(len(a), len(b))
	for i := range length {
		if a[i] != b[i] {
			return i
		}
	}
	return length
}

// Hot returns the prefixes that a backend server holds and that several requests through
// this entry instance began with, the most used first.
func (t *Table) Hot(now time.Time, id string) []Hot {
	t.mu.Lock()
	defer t.mu.Unlock()
	b := t.backends[id]
	if b == nil {
		return nil
	}
	var out []Hot
	for _, h := range b.group.hot.Values() {
		if rate := h.present(at(now)); rate > 0 && len(h.blocks) > 0 {
			out = b.appendHot(out, h.blocks, rate)
		}
	}
	slices.SortStableFunc(out, func(a, b Hot) int { return cmp.Compare(b.HitsPerSecond, a.HitsPerSecond) })
	return out
}

// appendHot adds a prefix when the server holds it whole.
func (b *backend) appendHot(out []Hot, blocks []prefix.Block, rate float64) []Hot {
	depths := b.group.known.depth(blocks)
	if int(depths[b.column]) < len(blocks) {
		return out
	}
	h := Hot{Blocks: slices.Clone(blocks), Tokens: len(blocks) * prefix.BlockTokens, HitsPerSecond: rate}
	for _, other := range b.group.backends {
		if other != b && !other.leaving && !other.unlisted && int(depths[other.column]) == len(blocks) {
			h.Elsewhere = true
		}
	}
	return append(out, h)
}
