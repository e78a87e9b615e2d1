package distribution

import (
	"bytes"
	"cmp"
	"maps"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/pkg/errors"

	"papayaport.dev/serving/version/publication"
)

const (
	// retryDelay is the delay before an instance that failed is asked again.
	retryDelay = 500 * time.Millisecond
	// missingDelay is the same for one that did not have a chunk, since it has a newer version by then.
	missingDelay = 50 * time.Millisecond
	// maxSources bounds the instances that are remembered.
	maxSources = 16
)

// Source is an entry instance with a version in force.
type Source struct {
	Address string
	Version uint64
	// Near is set for instances that are preferred, such as those of the same failure domain.
	Near bool
}

// source is a Source with the time before which it is not asked.
type source struct {
	Source
	retryAt time.Time
}

// Order is a request to make: for the manifest of a source's highest version, or for a chunk.
type Order struct {
	Address string
	// Version is the version that the source announced or that the chunk belongs to.
	Version uint64
	// Chunk is empty in an order for a manifest.
	Chunk publication.Hash
}

// Copy is a complete configuration.
type Copy struct {
	Version uint64
	Raw     []byte
	// Address is the instance that sent the last chunk.
	Address string
}

// Table decides what to request from which instance, one request at a time. It is safe for
// concurrent use.
type Table struct {
	archive *Archive

	mu      sync.Mutex
	random  *rand.Rand
	held    uint64
	sources map[string]*source
	// target is the manifest of the version that is being copied, from the instance from. Its
	// chunks survive a change of the target.
	target *Manifest
	from   string
	chunks map[publication.Hash][]byte
	// pending is set while a request is in flight.
	pending bool
}

// New returns a table that takes chunks of earlier versions from an archive.
func New(archive *Archive, random *rand.Rand) *Table {
	return &Table{archive: archive, random: random, sources: map[string]*source{}, chunks: map[publication.Hash][]byte{}}
}

// Announce records that an instance has a version in force.
func (t *Table) Announce(s Source) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if s.Version <= t.held || s.Address == "" {
		return
	}
	if known, found := t.sources[s.Address]; found {
		known.Version, known.Near = max(known.Version, s.Version), known.Near || s.Near
		return
	}
	if len(t.sources) >= maxSources {
		t.dropFailed()
	}
	if len(t.sources) < maxSources {
		t.sources[s.Address] = &source{Source: s}
	}
}

// dropFailed drops the source that failed last, if any did, so that instances that are gone leave
// room for others.
func (t *Table) dropFailed() {
	last := ""
	for address, s := range t.sources {
		if !s.retryAt.IsZero() && (last == "" || s.retryAt.After(t.sources[last].retryAt)) {
			last = address
		}
	}
	delete(t.sources, last)
}

// SetHeld records the version in force. Versions up to it are not copied.
func (t *Table) SetHeld(version uint64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if version <= t.held {
		return
	}
	t.held = version
	maps.DeleteFunc(t.sources, func(_ string, s *source) bool { return s.Version <= version })
	if t.target != nil && t.target.Version <= version {
		t.target = nil
	}
	if len(t.sources) == 0 {
		clear(t.chunks)
	}
}

// Next returns the next request. If there is none now, it returns when to ask again, the zero time
// if only after another call.
func (t *Table) Next(now time.Time) (order Order, retryAt time.Time, found bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.pending || len(t.sources) == 0 {
		return Order{}, time.Time{}, false
	}
	from, retryAt := t.choose(now)
	if from == nil {
		return Order{}, retryAt, false
	}
	order = Order{Address: from.Address, Version: from.Version}
	if t.target != nil {
		order.Version, order.Chunk = t.target.Version, t.missing()
		t.from = from.Address
	}
	t.pending = true
	return order, time.Time{}, true
}

// choose returns the source to ask, or the time at which the first one may be asked.
func (t *Table) choose(now time.Time) (*source, time.Time) {
	if current := t.sources[t.from]; t.target != nil && current != nil && !now.Before(current.retryAt) {
		return current, time.Time{}
	}
	var ready []*source
	var retryAt time.Time
	for _, address := range slices.Sorted(maps.Keys(t.sources)) {
		s := t.sources[address]
		if !now.Before(s.retryAt) {
			ready = append(ready, s)
		} else if retryAt.IsZero() || s.retryAt.Before(retryAt) {
			retryAt = s.retryAt
		}
	}
	if len(ready) == 0 {
		return nil, retryAt
	}
	t.random.Shuffle(len(ready), func(i, j int) { ready[i], ready[j] = ready[j], ready[i] })
	return slices.MaxFunc(ready, func(a, b *source) int {
		return cmp.Or(cmp.Compare(a.Version, b.Version), compareBool(a.Near, b.Near))
	}), time.Time{}
}

func compareBool(a, b bool) int {
	switch {
	case a == b:
		return 0
	case a:
		return 1
	}
	return -1
}

// missing returns the first chunk of the target that is missing, "" if there is none.
func (t *Table) missing() publication.Hash {
	for _, hash := range t.target.Chunks {
		if t.chunks[hash] == nil {
			return hash
		}
	}
	return ""
}

// ReceiveManifest records the response to an order for a manifest.
func (t *Table) ReceiveManifest(order Order, manifest Manifest) error {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.pending = false
	if manifest.Bytes > MaxBytes || len(manifest.Chunks) > MaxBytes/minChunkBytes+1 {
		delete(t.sources, order.Address)
		return errors.Errorf("version %d has %d bytes in %d chunks, at most %d bytes are allowed", manifest.Version, manifest.Bytes, len(manifest.Chunks), MaxBytes)
	}
	if manifest.Version <= t.held {
		delete(t.sources, order.Address)
		return nil
	}
	t.target, t.from = &manifest, order.Address
	wanted := map[publication.Hash]bool{}
	for _, hash := range manifest.Chunks {
		wanted[hash] = true
		if t.chunks[hash] != nil {
			continue
		}
		if chunk, found := t.archive.find(hash); found {
			t.chunks[hash] = chunk
		}
	}
	maps.DeleteFunc(t.chunks, func(hash publication.Hash, _ []byte) bool { return !wanted[hash] })
	return nil
}

// ReceiveChunk records the response to an order for a chunk.
func (t *Table) ReceiveChunk(now time.Time, order Order, packed []byte) error {
	chunk, err := expand(packed, order.Chunk)
	if err != nil {
		t.Fail(now, order)
		return err
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.pending = false
	t.chunks[order.Chunk] = chunk
	return nil
}

// Fail records that an order failed. Another source is asked, if there is one.
func (t *Table) Fail(now time.Time, order Order) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.pending = false
	if s := t.sources[order.Address]; s != nil {
		s.retryAt = now.Add(retryDelay)
	}
}

// Miss records that the source does not have what was ordered. After a missing chunk the copy goes
// on with the manifest of a higher version; the chunks that both have are kept.
func (t *Table) Miss(now time.Time, order Order) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.pending = false
	if s := t.sources[order.Address]; s != nil {
		s.retryAt = now.Add(missingDelay)
	}
	t.target = nil
}

// Take returns the target once it is complete. The table forgets it.
func (t *Table) Take() (Copy, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.target == nil || t.missing() != "" {
		return Copy{}, false
	}
	var raw bytes.Buffer
	raw.Grow(t.target.Bytes)
	for _, hash := range t.target.Chunks {
		raw.Write(t.chunks[hash])
	}
	complete := Copy{Version: t.target.Version, Raw: raw.Bytes(), Address: t.from}
	t.target = nil
	return complete, true
}
