package publication

import (
	"math/rand/v2"
	"slices"
	"time"

	"papayaport.dev/serving/version/service"
)

// Source identifies the origin of a head, manifest or chunk: the peer address of an entry
// instance, or StoreSource.
type Source string

// StoreSource is the platform's key-value service.
const StoreSource Source = ""

// EventKind is the kind of an event.
type EventKind string

// Kinds of event.
const (
	// Offered: Source has Version in force.
	Offered EventKind = "offered"
	// HeadReceived: Source answered with Head.
	HeadReceived EventKind = "head_received"
	// ManifestReceived: Source answered with the manifest Hash as Data.
	ManifestReceived EventKind = "manifest_received"
	// ChunkReceived: Source answered with the chunk Hash as Data.
	ChunkReceived EventKind = "chunk_received"
	// FetchFailed: Source did not answer the fetch of kind Fetch for Hash.
	FetchFailed EventKind = "fetch_failed"
	// Ticked: time passed.
	Ticked EventKind = "ticked"
)

// Event is one input of a Table.
type Event struct {
	Kind    EventKind
	Source  Source
	Version uint64
	Head    Head
	Hash    Hash
	Data    []byte
	// Fetch is the kind of the fetch that failed.
	Fetch StepKind
}

// StepKind is the kind of a step.
type StepKind string

// Kinds of step.
const (
	FetchHead     StepKind = "fetch_head"
	FetchManifest StepKind = "fetch_manifest"
	FetchChunk    StepKind = "fetch_chunk"
	// Adopt puts Version into force.
	Adopt StepKind = "adopt"
	// Refuse reports that Head is not adopted because of Faults.
	Refuse StepKind = "refuse"
)

// Step is one instruction of a Table. Every fetch is answered by one event.
type Step struct {
	Kind    StepKind
	Source  Source
	Hash    Hash
	Version *Version
	Head    Head
	Faults  []service.Fault
}

const (
	// maxParallelChunks is the maximum number of chunks fetched at a time.
	maxParallelChunks = 8
	// fetchTimeout is the time after which a fetch without an answer counts as failed.
	fetchTimeout = 2 * time.Second
	// stallTimeout is the time without progress after which a target is dropped in favour of a
	// lower version.
	stallTimeout = 3 * time.Second
	// startTimeout is how long an instance waits for all sources before it adopts its first
	// version.
	startTimeout = 2 * time.Second
	// firstSourceBackoff and maxSourceBackoff bound the back-off after a source failed.
	firstSourceBackoff = 200 * time.Millisecond
	maxSourceBackoff   = 4 * time.Second
)

// source is the state of one source.
type source struct {
	// offered is the highest version that it has announced.
	offered  uint64
	failures int
	// pausedUntil is the end of its back-off.
	pausedUntil time.Time
}

type fetchKey struct {
	kind StepKind
	hash Hash
	// source distinguishes heads; it is empty for content, which may come from any source.
	source Source
}

type fetch struct {
	source Source
	since  time.Time
}

// Table decides what an entry instance fetches and which version it adopts. It adopts higher
// versions only. It does no I/O and is not safe for concurrent use.
type Table struct {
	random  *rand.Rand
	current *Version
	sources map[Source]*source
	fetches map[fetchKey]fetch

	// target is the highest head known above the current version.
	target        Head
	manifest      *Manifest
	manifestBytes []byte
	contents      Contents
	// missing holds the chunks of the target that are not available locally, and queue their
	// order.
	missing map[Hash]bool
	queue   []Hash

	// lastProgress is when the target was set or a part of it arrived.
	lastProgress time.Time

	// refusedVersion is the highest version with faults.
	refusedVersion uint64
	// awaitedSources holds the sources that have not answered since the start.
	awaitedSources map[Source]bool
	startUntil     time.Time
}

// NewTable returns a table that queries the store and the given peers before it adopts its first
// version, and its first steps.
func NewTable(now time.Time, random *rand.Rand, peers []Source) (*Table, []Step) {
	t := &Table{
		random:         random,
		sources:        map[Source]*source{},
		fetches:        map[fetchKey]fetch{},
		contents:       Contents{},
		awaitedSources: map[Source]bool{},
		startUntil:     now.Add(startTimeout),
	}
	steps := []Step{}
	for _, name := range append([]Source{StoreSource}, peers...) {
		t.awaitedSources[name] = true
		t.source(name)
		steps = append(steps, t.fetch(now, FetchHead, name, ""))
	}
	return t, steps
}

// Current returns the version in force, nil before the first one.
func (t *Table) Current() *Version { return t.current }

// Started reports whether all sources have answered or startTimeout has passed.
func (t *Table) Started(now time.Time) bool {
	return len(t.awaitedSources) == 0 || !now.Before(t.startUntil)
}

// Handle applies an event and returns the resulting steps.
func (t *Table) Handle(now time.Time, event Event) []Step {
	switch event.Kind {
	case Offered:
		src := t.source(event.Source)
		src.offered = max(src.offered, event.Version)
	case HeadReceived:
		t.handleHead(now, event)
	case ManifestReceived:
		t.handleManifest(now, event)
	case ChunkReceived:
		t.handleChunk(now, event)
	case FetchFailed:
		t.fetchFailed(now, event.Source, event.Fetch, event.Hash)
	}
	t.expire(now)
	t.dropStalledTarget(now)
	return t.nextSteps(now)
}

func (t *Table) source(name Source) *source {
	src, ok := t.sources[name]
	if !ok {
		src = &source{}
		t.sources[name] = src
	}
	return src
}

// RetainPeers removes the peers that are not in the list.
func (t *Table) RetainPeers(peers []Source) {
	for name := range t.sources {
		if name != StoreSource && !slices.Contains(peers, name) {
			delete(t.sources, name)
			delete(t.awaitedSources, name)
		}
	}
}

func (t *Table) handleHead(now time.Time, event Event) {
	delete(t.fetches, fetchKey{FetchHead, "", event.Source})
	delete(t.awaitedSources, event.Source)
	src := t.source(event.Source)
	src.failures = 0
	src.offered = event.Head.Version
	if event.Head.Version <= t.highestVersion() {
		return
	}
	t.target = event.Head
	t.manifest = nil
	t.lastProgress = now
}

// highestVersion returns the highest version that is in force, being fetched or refused.
func (t *Table) highestVersion() uint64 { return max(t.version(), t.target.Version, t.refusedVersion) }

func (t *Table) version() uint64 {
	if t.current == nil {
		return 0
	}
	return t.current.Number
}

func (t *Table) handleManifest(now time.Time, event Event) {
	if event.Hash != t.target.Manifest || t.manifest != nil {
		t.fetchSucceeded(event.Source, FetchManifest, event.Hash)
		return
	}
	manifest, err := DecodeManifest(event.Hash, event.Data)
	if err != nil {
		t.fetchFailed(now, event.Source, FetchManifest, event.Hash)
		return
	}
	t.fetchSucceeded(event.Source, FetchManifest, event.Hash)
	t.manifest = &manifest
	t.manifestBytes = event.Data
	t.lastProgress = now
	t.keepContents()
}

// keepContents keeps the chunks that the target needs and that are already available.
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

func (t *Table) handleChunk(now time.Time, event Event) {
	if HashOf(event.Data) != event.Hash {
		t.fetchFailed(now, event.Source, FetchChunk, event.Hash)
		return
	}
	t.fetchSucceeded(event.Source, FetchChunk, event.Hash)
	if t.manifest != nil && t.missing[event.Hash] {
		t.contents[event.Hash] = event.Data
		delete(t.missing, event.Hash)
		t.lastProgress = now
	}
}

func (t *Table) fetchSucceeded(from Source, kind StepKind, hash Hash) {
	delete(t.fetches, fetchKey{kind, hash, ""})
	t.source(from).failures = 0
}

func (t *Table) fetchFailed(now time.Time, from Source, kind StepKind, hash Hash) {
	key := fetchKey{kind, hash, ""}
	if kind == FetchHead {
		key = fetchKey{FetchHead, "", from}
		delete(t.awaitedSources, from)
	}
	if t.fetches[key].source == from {
		delete(t.fetches, key)
	}
	src := t.source(from)
	src.failures++
	pause := min(firstSourceBackoff<<min(src.failures-1, 8), maxSourceBackoff)
	pause = pause/2 + time.Duration(t.random.Int64N(int64(pause/2)+1))
	src.pausedUntil = now.Add(pause)
}

// dropStalledTarget drops a target without progress, so that a lower version can be adopted
// first.
func (t *Table) dropStalledTarget(now time.Time) {
	complete := t.manifest != nil && len(t.missing) == 0
	if t.target.Version > 0 && !complete && now.Sub(t.lastProgress) >= stallTimeout {
		t.target = Head{}
		t.manifest = nil
	}
}

// nextSteps returns the next fetches, or the adoption of a complete version.
func (t *Table) nextSteps(now time.Time) []Step {
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

// mayAdopt holds back the first version until all sources have answered, since it must be the
// highest version that any of them has.
func (t *Table) mayAdopt(now time.Time) bool {
	return t.current != nil || t.Started(now)
}

// adopt puts the complete target into force, or refuses it if it has faults.
func (t *Table) adopt() Step {
	head := t.target
	files, faults := load(*t.manifest, t.contents, t.current)
	if len(faults) > 0 {
		t.refusedVersion = max(t.refusedVersion, head.Version)
		t.target = Head{}
		return Step{Kind: Refuse, Head: head, Faults: faults}
	}
	t.current = &Version{
		Number: head.Version, Head: head, Files: files,
		manifest: *t.manifest, manifestBytes: t.manifestBytes, contents: t.contents,
	}
	t.target = Head{}
	t.manifest = nil
	t.manifestBytes = nil
	t.contents = Contents{}
	return Step{Kind: Adopt, Head: head, Version: t.current}
}
