package route

import (
	"slices"
	"time"

	"papayaport.dev/serving/request/prefix"
)

// leastShared is the number of tokens in the shared parts of a prompt from which on it is kept
// near its home: reading fewer again takes some 30 ms at most.
const leastShared = 1024

// SetWidth limits the choice for requests with a prompt to the first n servers in the order of
// the prompt's home that take the request; 0 lifts the limit. Entry instances that know the
// same would otherwise all take the same best server at a time.
func (t *Table) SetWidth(n int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.width = max(n, 0)
}

// narrows tells whether the choice for the present request is limited.
func (t *Table) narrows(g *group) bool {
	return t.width > 0 && t.request.PromptTokens > 0 && len(g.backends) > t.width
}

// collectNarrow fills the candidates with the first servers in order that take the request.
// It ranks all and estimates only those. False tells that no server takes the request.
func (t *Table) collectNarrow(now time.Time, g *group) bool {
	t.candidates, t.barred, t.opens = t.candidates[:0], t.barred[:0], 0
	blocks := t.request.Blocks
	var seed prefix.Block
	if len(blocks)*prefix.BlockTokens >= leastShared {
		seed = homeBlock(blocks)
	} else {
		// Nothing is lost away from a home, so that the prompt has none.
		seed, t.request.Blocks = prefix.Block(t.random.Uint64()), nil
	}
	q := t.askWithout(now, g)
	t.pickFirst(now, g, seed, &q)
	if t.parts.prefix && len(blocks) > 0 && len(t.candidates) > 0 {
		q.depths = t.depths(g, blocks)
	}
	for i := range t.candidates {
		t.estimate(&t.candidates[i], &q)
	}
	return len(t.candidates) > 0
}

// pickFirst fills the candidates with the first servers in rank that take the request, in
// the order of their price.
func (t *Table) pickFirst(now time.Time, g *group, seed prefix.Block, q *question) {
	lowest := uint64(0)
	last, bounded := t.lastHash(g)
	for _, b := range g.backends {
		if bounded && b.hash > last {
			continue
		}
		place := rank(seed, b.hash)
		full := len(t.candidates) == t.width
		if full && place <= lowest || !t.takes(now, b, q) {
			continue
		}
		if full {
			t.dropLowest(lowest)
		}
		t.candidates = append(t.candidates, Candidate{backend: b, Rank: place})
		lowest = t.candidates[0].Rank
		for i := range t.candidates {
			lowest = min(lowest, t.candidates[i].Rank)
		}
	}
}

// dropLowest removes the candidate of the lowest rank and keeps the order of the others.
func (t *Table) dropLowest(lowest uint64) {
	at := slices.IndexFunc(t.candidates, func(c Candidate) bool { return c.Rank == lowest })
	t.candidates = slices.Delete(t.candidates, at, at+1)
}

// takes tells whether a server takes the present request and is no last resort.
func (t *Table) takes(now time.Time, b *backend, q *question) bool {
	if b.leaving || b.unlisted || !t.request.Versions.allow(b.Version) {
		return false
	}
	if _, admitted := b.asked.Admits(now); !admitted {
		return false
	}
	c := Candidate{backend: b}
	if b.health.distrust > 0 {
		c.InFlight = b.estimatedInFlight(b.reportFresh(q.now), t.parts)
	}
	return !t.isLastResort(&c, q)
}

// depths returns the known blocks at the candidates by column; other columns are not valid.
func (t *Table) depths(g *group, blocks []prefix.Block) []int32 {
	k := g.known
	for i := range t.candidates {
		k.depths[t.candidates[i].backend.column] = 0
	}
	t.holders = t.holders[:0]
	for i := range t.candidates {
		t.holders = append(t.holders, t.candidates[i].backend.column)
	}
	for _, block := range blocks {
		index, ok := k.rows.Peek(block)
		if !ok || len(t.holders) == 0 {
			break
		}
		row, still := k.row(index), t.holders[:0]
		for _, column := range t.holders {
			if row[column/wordBits]&(1<<(column%wordBits)) != 0 {
				k.depths[column]++
				still = append(still, column)
			}
		}
		t.holders = still
	}
	return k.depths
}
