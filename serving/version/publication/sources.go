package publication

import (
	"cmp"
	"slices"
	"time"
)

func (t *Table) fetch(now time.Time, kind StepKind, from Source, hash Hash) Step {
	key := fetchKey{kind, hash, ""}
	if kind == FetchHead {
		key.source = from
	}
	t.fetches[key] = fetch{from, now}
	return Step{Kind: kind, Source: from, Hash: hash}
}

// expire fails the fetches that have timed out.
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
		t.fetchFailed(now, t.fetches[key].source, key.kind, key.hash)
	}
}

func (t *Table) runningFetches(kind StepKind) int {
	count := 0
	for key := range t.fetches {
		if key.kind == kind {
			count++
		}
	}
	return count
}

// fetchHeads fetches the head from one source at a time that offers a higher version than known.
func (t *Table) fetchHeads(now time.Time) []Step {
	highest := t.highestVersion()
	if t.runningFetches(FetchHead) > len(t.awaitedSources) {
		return nil
	}
	from, ok := t.chooseSource(now, func(candidate *source) bool { return candidate.offered > highest })
	if !ok {
		return nil
	}
	if _, running := t.fetches[fetchKey{FetchHead, "", from}]; running {
		return nil
	}
	return []Step{t.fetch(now, FetchHead, from, "")}
}

// fetchChunks fetches the next missing chunks, up to maxParallelChunks at a time.
func (t *Table) fetchChunks(now time.Time) []Step {
	for len(t.queue) > 0 && !t.missing[t.queue[0]] {
		t.queue = t.queue[1:]
	}
	var steps []Step
	for _, hash := range t.queue {
		if t.runningFetches(FetchChunk) >= maxParallelChunks {
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

func (t *Table) fetchContent(now time.Time, kind StepKind, hash Hash) []Step {
	if _, running := t.fetches[fetchKey{kind, hash, ""}]; running {
		return nil
	}
	from, ok := t.chooseSource(now, func(*source) bool { return true })
	if !ok {
		return nil
	}
	return []Step{t.fetch(now, kind, from, hash)}
}

// chooseSource returns a usable source that is not backing off: those with the fewest failures
// first, then those that offer the target, then peers before the store. Ties are broken at
// random.
func (t *Table) chooseSource(now time.Time, usable func(*source) bool) (Source, bool) {
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
