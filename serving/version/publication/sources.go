package publication

import (
	"cmp"
	"slices"
	"time"
)

func (t *Table) fetch(now time.Time, kind FetchKind, from Source, hash Hash) Step {
	key := fetchKey{kind, hash, ""}
	if kind == FetchHead {
		key.source = from
	}
	t.fetches[key] = fetch{from, now}
	return Step{Kind: kind, Source: from, Hash: hash}
}

// expire gives up fetches whose answer is overdue.
func (t *Table) expire(now time.Time) {
	var overdue []fetchKey
	for key, running := range t.fetches {
		if now.Sub(running.since) >= fetchTimeout {
			overdue = append(overdue, key)
		}
	}
	slices.SortFunc(overdue, func(a, b fetchKey) int {
		return cmp.Or(cmp.Compare(a.kind, b.kind), cmp.Compare(a.hash, b.hash), cmp.Compare(a.source, b.source))
	})
	for _, key := range overdue {
		t.failed(now, t.fetches[key].source, key.kind, key.hash)
	}
}

func (t *Table) running(kind FetchKind) int {
	count := 0
	for key := range t.fetches {
		if key.kind == kind {
			count++
		}
	}
	return count
}

// fetchHeads asks one source at a time that offers more than is known.
func (t *Table) fetchHeads(now time.Time) []Step {
	known := t.highest()
	if t.running(FetchHead) > len(t.awaited) {
		return nil
	}
	from, ok := t.choose(now, func(candidate *source) bool { return candidate.offered > known })
	if !ok {
		return nil
	}
	if _, running := t.fetches[fetchKey{FetchHead, "", from}]; running {
		return nil
	}
	return []Step{t.fetch(now, FetchHead, from, "")}
}

// fetchChunks asks for the next missing chunks, a few at a time.
func (t *Table) fetchChunks(now time.Time) []Step {
	for len(t.queue) > 0 && !t.missing[t.queue[0]] {
		t.queue = t.queue[1:]
	}
	var steps []Step
	for _, hash := range t.queue {
		if t.running(FetchChunk) >= parallelChunks {
			break
		}
		if _, running := t.fetches[fetchKey{FetchChunk, hash, ""}]; running || !t.missing[hash] {
			continue
		}
		step := t.fetchContent(now, FetchChunk, hash)
		if len(step) == 0 {
			break
		}
		steps = append(steps, step...)
	}
	return steps
}

func (t *Table) fetchContent(now time.Time, kind FetchKind, hash Hash) []Step {
	if _, running := t.fetches[fetchKey{kind, hash, ""}]; running {
		return nil
	}
	from, ok := t.choose(now, func(*source) bool { return true })
	if !ok {
		return nil
	}
	return []Step{t.fetch(now, kind, from, hash)}
}

// choose picks one of the usable sources: the least failing first, then those that
// offer the target, then peers before the store.
func (t *Table) choose(now time.Time, usable func(*source) bool) (Source, bool) {
	names := make([]Source, 0, len(t.sources))
	for name, candidate := range t.sources {
		if usable(candidate) && !now.Before(candidate.pausedUntil) {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	t.random.Shuffle(len(names), func(i, j int) { names[i], names[j] = names[j], names[i] })
	slices.SortStableFunc(names, func(a, b Source) int { return t.rank(a) - t.rank(b) })
	if len(names) == 0 {
		return "", false
	}
	return names[0], true
}

func (t *Table) rank(name Source) int {
	rank := 4 * t.sources[name].failures
	if t.sources[name].offered < t.target.Version {
		rank += 2
	}
	if name == StoreSource {
		rank++
	}
	return rank
}
