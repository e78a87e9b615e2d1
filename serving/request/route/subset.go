package route

import (
	"slices"
	"time"

	"papayaport.dev/serving/request/prefix"
)

// minSharedTokens is the minimum number of tokens in the shared part of a prompt for which the
// prompt is kept near its home: computing fewer tokens again takes at most about 30 ms.
const minSharedTokens = 1024

// SetSubsetSize limits the choice for requests with a prompt to the first n servers in the prompt's
// rendezvous order that accept the request; 0 removes the limit. Without it, entry instances with
// the same data would all select the same best server at the same time.
func (t *Table) SetSubsetSize(n int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.subsetSize = max(n, 0)
}

// usesSubset reports whether the choice for the current request is limited to a subset.
func (t *Table) usesSubset(g *group) bool {
	return t.subsetSize > 0 && t.request.PromptTokens > 0 && len(g.backends) > t.subsetSize
}

// collectSubset fills the candidates with the first servers in rendezvous order that accept the
// request. It ranks all servers and estimates only the candidates. It returns false when no server
// accepts the request.
func (t *Table) collectSubset(now time.Time, g *group) bool {
	t.candidates, t.lastResorts, t.admissionWait = t.candidates[:0], t.lastResorts[:0], 0
	blocks := t.request.Blocks
	var seed prefix.Block
	if len(blocks)*prefix.BlockTokens >= minSharedTokens {
		seed = homeBlock(blocks)
	} else {
		// The prompt gains nothing from a home, so it gets a random order.
		seed, t.request.Blocks = prefix.Block(t.random.Uint64()), nil
	}
	in := t.newUncachedInput(now, g)
	t.fillSubset(now, g, seed, &in)
	if t.features.prefix && len(blocks) > 0 && len(t.candidates) > 0 {
		in.depths = t.depths(g, blocks)
	}
	for i := range t.candidates {
		t.estimate(&t.candidates[i], &in)
	}
	return len(t.candidates) > 0
}

// fillSubset fills the candidates with the highest-ranked servers that accept the request, in the
// order of their price.
func (t *Table) fillSubset(now time.Time, g *group, seed prefix.Block, in *estimateInput) {
	lowest := uint64(0)
	last, bounded := t.maxHash(g)
	for _, b := range g.backends {
		if bounded && b.hash > last {
			continue
		}
		place := rank(seed, b.hash)
		full := len(t.candidates) == t.subsetSize
		if full && place <= lowest || !t.accepts(now, b, in) {
			continue
		}
		if full {
			t.dropLowestRank(lowest)
		}
		t.candidates = append(t.candidates, Candidate{backend: b, Rank: place})
		lowest = t.candidates[0].Rank
		for i := range t.candidates {
			lowest = min(lowest, t.candidates[i].Rank)
		}
	}
}

// dropLowestRank removes the candidate with the lowest rank and keeps the order of the others.
func (t *Table) dropLowestRank(lowest uint64) {
	at := slices.IndexFunc(t.candidates, func(c Candidate) bool { return c.Rank == lowest })
	t.candidates = slices.Delete(t.candidates, at, at+1)
}

// accepts reports whether a server may run the current request and is not a last resort.
func (t *Table) accepts(now time.Time, b *backend, in *estimateInput) bool {
	if b.leaving || b.unlisted || !t.request.Versions.allows(b.Version) {
		return false
	}
	if _, admitted := b.limiter.Allow(now); !admitted {
		return false
	}
	c := Candidate{backend: b}
	if b.health.penalty > 0 {
		c.InFlight = b.estimatedInFlight(b.reportFresh(in.now), t.features)
	}
	return !t.isLastResort(&c, in)
}

// depths returns the number of cached blocks by column. Only the columns of the candidates are
// valid.
func (t *Table) depths(g *group, blocks []prefix.Block) []int32 {
	k := g.cache
	for i := range t.candidates {
		k.depths[t.candidates[i].backend.column] = 0
	}
	t.columns = t.columns[:0]
	for i := range t.candidates {
		t.columns = append(t.columns, t.candidates[i].backend.column)
	}
	for _, block := range blocks {
		index, ok := k.rows.Peek(block)
		if !ok || len(t.columns) == 0 {
			break
		}
		row, still := k.row(index), t.columns[:0]
		for _, column := range t.columns {
			if row[column/wordBits]&(1<<(column%wordBits)) != 0 {
				k.depths[column]++
				still = append(still, column)
			}
		}
		t.columns = still
	}
	return k.depths
}
