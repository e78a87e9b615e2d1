package publication

import (
	"math/rand/v2"
	"slices"
	"time"

	"papayaport.dev/serving/version/service"
)

// Source names where a head, manifest or chunk comes from: the peer address of an
// entry instance, or StoreSource.
type Source string

// StoreSource is the platform's key-value service.
const StoreSource Source = ""

// EventKind names what a Table is told.
type EventKind string

// Kinds of event.
const (
	// Offered: Source says that it has Version in force.
	Offered EventKind = "offered"
	// HeadReceived: Source answered with Head.
	HeadReceived EventKind = "head_received"
	// ManifestReceived: Source answered with the manifest Hash as Data.
	ManifestReceived EventKind = "manifest_received"
	// ChunkReceived: Source answered with the chunk Hash as Data.
	ChunkReceived EventKind = "chunk_received"
	// FetchFailed: Source did not answer Fetch for Hash.
	FetchFailed EventKind = "fetch_failed"
	// Ticked: time passed.
	Ticked EventKind = "ticked"
)

// Event is one message to a Table.
type Event struct {
	Kind    EventKind
	Source  Source
	Version uint64
	Head    Head
	Hash    Hash
	Data    []byte
	// Fetch is the kind of the fetch that failed.
	Fetch FetchKind
}

// FetchKind names what a Table wants fetched or done.
type FetchKind string

// Kinds of step.
const (
	FetchHead     FetchKind = "fetch_head"
	FetchManifest FetchKind = "fetch_manifest"
	FetchChunk    FetchKind = "fetch_chunk"
	// Adopt puts Version into force.
	Adopt FetchKind = "adopt"
	// Refuse reports that Head has Faults and is not adopted.
	Refuse FetchKind = "refuse"
)

// Step is one order of a Table. Every fetch is answered by one event.
type Step struct {
	Kind    FetchKind
	Source  Source
	Hash    Hash
	Version *Version
	Head    Head
	Faults  []service.Fault
}

const (
	// parallelChunks is the number of chunks fetched at a time.
	parallelChunks = 8
	// fetchTimeout is when a fetch without an answer counts as failed.
	fetchTimeout = 2 * time.Second
	// stallTimeout is when a target that can't be fetched makes room for a lower one.
	stallTimeout = 3 * time.Second
	// startTimeout is how long an instance waits for all sources before its first version.
	startTimeout = 2 * time.Second
	// firstSourceBackoff and maxSourceBackoff bound the pause of a source that failed.
	firstSourceBackoff = 200 * time.Millisecond
	maxSourceBackoff   = 4 * time.Second
)

// source is what a Table knows of one source.
type source struct {
	// offered is the highest version that it said to have.
	offered  uint64
	failures int
	// pausedUntil is when it may be asked again.
	pausedUntil time.Time
}

type fetchKey struct {
	kind FetchKind
	hash Hash
	// source tells heads apart; it is empty for content, which may come from anywhere.
	source Source
}

type fetch struct {
	source Source
	since  time.Time
}

// Table decides what an entry instance fetches and which version it adopts. It adopts
// higher versions only. It is used by one goroutine and has no I/O.
type Table struct {
	random  *rand.Rand
	current *Version
	sources map[Source]*source
	fetches map[fetchKey]fetch

	// target is the highest head known above the current version.
	target   Head
	manifest *Manifest
	raw      []byte
	contents Contents
	// missing holds the chunks of the target that are not here, and queue their order.
	missing map[Hash]bool
	queue   []Hash

	// progress is when the target was set or something of it arrived.
	progress time.Time

	// refused is the highest version that makes no valid configuration.
	refused uint64
	// awaited holds the sources that have not answered since the start.
	awaited    map[Source]bool
	startUntil time.Time
}

// New returns a table that asks the store and the given peers before it adopts its first
// version, and the first orders.
func New(now time.Time, random *rand.Rand, peers []Source) (*Table, []Step) {
	t := &Table{
		random:     random,
		sources:    map[Source]*source{},
		fetches:    map[fetchKey]fetch{},
		contents:   Contents{},
		awaited:    map[Source]bool{},
		startUntil: now.Add(startTimeout),
	}
	steps := []Step{}
	for _, name := range append([]Source{StoreSource}, peers...) {
		t.awaited[name] = true
		t.source(name)
		steps = append(steps, t.fetch(now, FetchHead, name, ""))
	}
	return t, steps
}

// Current returns the version in force, nil before the first one.
func (t *Table) Current() *Version { return t.current }

// Started tells whether all sources were asked and answered or had their time.
func (t *Table) Started(now time.Time) bool {
	return len(t.awaited) == 0 || !now.Before(t.startUntil)
}

// Handle takes an event and returns the steps that follow from it.
func (t *Table) Handle(now time.Time, event Event) []Step {
	switch event.Kind {
	case Offered:
		known := t.source(event.Source)
		known.offered = max(known.offered, event.Version)
	case HeadReceived:
		t.headReceived(now, event)
	case ManifestReceived:
		t.manifestReceived(now, event)
	case ChunkReceived:
		t.chunkReceived(now, event)
	case FetchFailed:
		t.failed(now, event.Source, event.Fetch, event.Hash)
	}
	t.expire(now)
	t.unstall(now)
	return t.advance(now)
}

func (t *Table) source(name Source) *source {
	known, ok := t.sources[name]
	if !ok {
		known = &source{}
		t.sources[name] = known
	}
	return known
}

// Retain forgets the peers that are not in the list.
func (t *Table) Retain(peers []Source) {
	for name := range t.sources {
		if name != StoreSource && !slices.Contains(peers, name) {
			delete(t.sources, name)
			delete(t.awaited, name)
		}
	}
}

func (t *Table) headReceived(now time.Time, event Event) {
	delete(t.fetches, fetchKey{FetchHead, "", event.Source})
	delete(t.awaited, event.Source)
	known := t.source(event.Source)
	known.failures = 0
	known.offered = event.Head.Version
	if event.Head.Version <= t.highest() {
		return
	}
	t.target = event.Head
	t.manifest = nil
	t.progress = now
}

// highest returns the highest version that is in force, under way or refused.
func (t *Table) highest() uint64 { return max(t.version(), t.target.Version, t.refused) }

func (t *Table) version() uint64 {
	if t.current == nil {
		return 0
	}
	return t.current.Number
}

func (t *Table) manifestReceived(now time.Time, event Event) {
	if event.Hash != t.target.Manifest || t.manifest != nil {
		t.answered(event.Source, FetchManifest, event.Hash)
		return
	}
	manifest, err := DecodeManifest(event.Hash, event.Data)
	if err != nil {
		t.failed(now, event.Source, FetchManifest, event.Hash)
		return
	}
	t.answered(event.Source, FetchManifest, event.Hash)
	t.manifest = &manifest
	t.raw = event.Data
	t.progress = now
	t.keepContents()
}

// keepContents keeps what the target needs of the chunks that are there already.
func (t *Table) keepContents() {
	kept := Contents{}
	t.missing = map[Hash]bool{}
	t.queue = nil
	for _, hash := range t.manifest.Hashes() {
		part, ok := t.contents[hash]
		if !ok {
			part, ok = t.current.chunk(hash)
		}
		if ok {
			kept[hash] = part
			continue
		}
		t.missing[hash] = true
		t.queue = append(t.queue, hash)
	}
	t.contents = kept
}

func (t *Table) chunkReceived(now time.Time, event Event) {
	if HashOf(event.Data) != event.Hash {
		t.failed(now, event.Source, FetchChunk, event.Hash)
		return
	}
	t.answered(event.Source, FetchChunk, event.Hash)
	if t.manifest != nil && t.missing[event.Hash] {
		t.contents[event.Hash] = event.Data
		delete(t.missing, event.Hash)
		t.progress = now
	}
}

func (t *Table) answered(from Source, kind FetchKind, hash Hash) {
	delete(t.fetches, fetchKey{kind, hash, ""})
	t.source(from).failures = 0
}

func (t *Table) failed(now time.Time, from Source, kind FetchKind, hash Hash) {
	key := fetchKey{kind, hash, ""}
	if kind == FetchHead {
		key = fetchKey{FetchHead, "", from}
		delete(t.awaited, from)
	}
	if t.fetches[key].source == from {
		delete(t.fetches, key)
	}
	known := t.source(from)
	known.failures++
	pause := min(firstSourceBackoff<<min(known.failures-1, 8), maxSourceBackoff)
	pause = pause/2 + time.Duration(t.random.Int64N(int64(pause/2)+1))
	known.pausedUntil = now.Add(pause)
}

// unstall drops a target that can't be fetched, so that a lower version can come first.
func (t *Table) unstall(now time.Time) {
	complete := t.manifest != nil && len(t.missing) == 0
	if t.target.Version > 0 && !complete && now.Sub(t.progress) >= stallTimeout {
		t.target = Head{}
		t.manifest = nil
	}
}

// advance returns what to fetch next, or the adoption of a complete version.
func (t *Table) advance(now time.Time) []Step {
	steps := t.fetchHeads(now)
	if t.target.Version == 0 {
		return steps
	}
	if t.manifest == nil {
		return append(steps, t.fetchContent(now, FetchManifest, t.target.Manifest)...)
	}
	steps = append(steps, t.fetchChunks(now)...)
	if len(t.missing) > 0 || !t.mayAdopt(now) {
		return steps
	}
	return append(steps, t.adopt())
}

// mayAdopt holds back the first version until all sources answered: it has to be the
// highest that any of them knows.
func (t *Table) mayAdopt(now time.Time) bool {
	return t.current != nil || t.Started(now)
}

// adopt puts the complete target into force, or refuses it.
func (t *Table) adopt() Step {
	head := t.target
	files, faults := load(*t.manifest, t.contents, t.current)
	if len(faults) > 0 {
		t.refused = max(t.refused, head.Version)
		t.target = Head{}
		return Step{Kind: Refuse, Head: head, Faults: faults}
	}
	t.current = &Version{
		Number: head.Version, Head: head, Files: files,
		manifest: *t.manifest, raw: t.raw, contents: t.contents,
	}
	t.target = Head{}
	t.manifest = nil
	t.raw = nil
	t.contents = Contents{}
	return Step{Kind: Adopt, Head: head, Version: t.current}
}
