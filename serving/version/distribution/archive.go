package distribution

import (
	"slices"
	"sync"

	"papayaport.dev/serving/version/publication"
)

// keptVersions is the number of versions whose chunks are offered. A copy that began before the
// newest version came can still be completed.
const keptVersions = 2

// Archive holds the versions that an entry instance offers to others. It is safe for concurrent
// use.
type Archive struct {
	mu sync.Mutex
	// editions are sorted by descending version.
	editions []*edition
}

// edition is one version with its chunks, which are set by load.
type edition struct {
	version  uint64
	raw      []byte
	manifest Manifest
	chunks   map[publication.Hash][]byte
	packed   map[publication.Hash][]byte
}

// NewArchive returns an empty archive.
func NewArchive() *Archive { return &Archive{} }

// Add adds a version. The caller must not modify raw afterwards.
func (a *Archive) Add(version uint64, raw []byte) {
	a.mu.Lock()
	defer a.mu.Unlock()
	for _, e := range a.editions {
		if e.version == version {
			return
		}
	}
	a.editions = append(a.editions, &edition{version: version, raw: raw})
	slices.SortFunc(a.editions, func(x, y *edition) int {
		if x.version > y.version {
			return -1
		}
		return 1
	})
	a.editions = a.editions[:min(keptVersions, len(a.editions))]
}

// load splits the version into chunks when they are first needed.
func (e *edition) load() {
	if e.chunks != nil {
		return
	}
	e.manifest = Manifest{Version: e.version, Bytes: len(e.raw)}
	e.chunks, e.packed = map[publication.Hash][]byte{}, map[publication.Hash][]byte{}
	for _, chunk := range split(e.raw) {
		hash := publication.HashOf(chunk)
		e.manifest.Chunks = append(e.manifest.Chunks, hash)
		e.chunks[hash] = chunk
	}
}

// Manifest returns the manifest of the highest version.
func (a *Archive) Manifest() (Manifest, bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if len(a.editions) == 0 {
		return Manifest{}, false
	}
	a.editions[0].load()
	return a.editions[0].manifest, true
}

// Chunk returns the compressed form of a chunk.
func (a *Archive) Chunk(hash publication.Hash) ([]byte, bool, error) {
	a.mu.Lock()
	defer a.mu.Unlock()
	for _, e := range a.editions {
		e.load()
		chunk, found := e.chunks[hash]
		if !found {
			continue
		}
		if e.packed[hash] == nil {
			packed, err := compress(chunk)
			if err != nil {
				return nil, false, err
			}
			e.packed[hash] = packed
		}
		return e.packed[hash], true, nil
	}
	return nil, false, nil
}

// find returns a chunk by its hash.
func (a *Archive) find(hash publication.Hash) ([]byte, bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	for _, e := range a.editions {
		e.load()
		if chunk, found := e.chunks[hash]; found {
			return chunk, true
		}
	}
	return nil, false
}
