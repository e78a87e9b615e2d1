package distribution_test

import (
	"bytes"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"papayaport.dev/serving/version/distribution"
	"papayaport.dev/serving/version/publication"
)

// routes returns a configuration with a number of routes, some 200 bytes each.
func routes(version uint64, count int) []byte {
	var raw bytes.Buffer
	fmt.Fprintf(&raw, `{"version":%d,"routes":[`, version)
	random := rand.New(rand.NewPCG(1, 1))
	for range count {
		fmt.Fprintf(&raw, `{"name":"%x","host":"app.example","prefix":"/%x/","route_type":"safe","timeout_ms":2500,"target_latency_ms":150,"target_gap_ms":0,"max_attempts":2,"priority":2,"service":"app"},`, random.Uint64(), random.Uint64())
	}
	raw.WriteString(`]}`)
	return raw.Bytes()
}

// node is an entry instance with an archive and a table.
type node struct {
	archive *distribution.Archive
	table   *distribution.Table
	raw     []byte
}

func newNode(seed uint64) *node {
	archive := distribution.NewArchive()
	return &node{archive: archive, table: distribution.New(archive, rand.New(rand.NewPCG(seed, 1)))}
}

func (n *node) adopt(version uint64, raw []byte) {
	n.raw = raw
	n.archive.Add(version, raw)
	n.table.SetHeld(version)
}

// answer executes an order at its source and returns the number of bytes of the reply. Without a
// source the order fails.
func (n *node) answer(t *testing.T, now time.Time, order distribution.Order, source *node) int {
	switch {
	case source == nil:
		n.table.Fail(now, order)
	case order.Chunk == "":
		manifest, found := source.archive.Manifest()
		require.True(t, found)
		require.NoError(t, n.table.ReceiveManifest(order, manifest))
		return 70 * len(manifest.Chunks)
	default:
		packed, found, err := source.archive.Chunk(order.Chunk)
		require.NoError(t, err)
		if !found {
			n.table.Miss(now, order)
			return 0
		}
		require.NoError(t, n.table.ReceiveChunk(now, order, packed))
		return len(packed)
	}
	return 0
}

// copyAll executes orders until the table has none, and returns the bytes that were transferred and
// the number of chunks.
func (n *node) copyAll(t *testing.T, now time.Time, sources map[string]*node) (size, chunks int) {
	for range 10_000 {
		order, retryAt, found := n.table.Next(now)
		if !found {
			if retryAt.IsZero() {
				return size, chunks
			}
			now = retryAt
			continue
		}
		if order.Chunk != "" {
			chunks++
		}
		size += n.answer(t, now, order, sources[order.Address])
		if complete, done := n.table.Take(); done {
			n.adopt(complete.Version, complete.Raw)
		}
	}
	t.Fatal("the copy does not end")
	return 0, 0
}

// TestCopyIsCompressed guards against transfers of a configuration in its full size.
func TestCopyIsCompressed(t *testing.T) {
	now := time.Unix(1000, 0)
	source, target := newNode(1), newNode(2)
	raw := routes(9, 4200)
	source.adopt(9, raw)
	target.table.Announce(distribution.Source{Address: "a", Version: 9})
	size, _ := target.copyAll(t, now, map[string]*node{"a": source})
	require.Equal(t, raw, target.raw)
	require.Less(t, size, len(raw)/4)
}

// TestCopyOfChange guards against transfers of a whole configuration after a change of a few routes.
func TestCopyOfChange(t *testing.T) {
	now := time.Unix(1000, 0)
	source, target := newNode(1), newNode(2)
	raw := routes(9, 4200)
	changed := append(append(bytes.Clone(raw[:300_000]), []byte(`{"name":"inserted"},`)...), raw[300_000:]...)
	changed = bytes.Replace(changed, []byte(`"version":9,`), []byte(`"version":10,`), 1)
	target.adopt(9, raw)
	source.adopt(10, changed)
	target.table.Announce(distribution.Source{Address: "a", Version: 10})
	_, chunks := target.copyAll(t, now, map[string]*node{"a": source})
	require.Equal(t, changed, target.raw)
	empty := newNode(3)
	empty.table.Announce(distribution.Source{Address: "a", Version: 10})
	_, whole := empty.copyAll(t, now, map[string]*node{"a": source})
	require.LessOrEqual(t, chunks, whole/10)
}

// TestCopyThroughFaults guards that an interrupted copy goes on where it stopped, with another
// instance or another version, and that a faulty instance can't stop it.
func TestCopyThroughFaults(t *testing.T) {
	now := time.Unix(1000, 0)
	raw, next := routes(9, 2000), routes(10, 2001)
	nine := newNode(4)
	nine.adopt(9, raw)
	begin := func() (sources map[string]*node, target *node) {
		sources = map[string]*node{"a": newNode(1), "b": newNode(2)}
		target = newNode(3)
		for address, source := range sources {
			source.adopt(9, raw)
			target.table.Announce(distribution.Source{Address: address, Version: 9})
		}
		for range 4 { // the manifest and three chunks
			order, _, found := target.table.Next(now)
			require.True(t, found)
			target.answer(t, now, order, sources[order.Address])
		}
		return sources, target
	}
	for name, test := range map[string]struct {
		disturb func(sources map[string]*node, target *node)
		want    []byte
		// repeated is the number of chunks that may be requested twice, and changes the number of
		// changes that are copied besides.
		repeated, changes int
	}{
		"nothing": {func(map[string]*node, *node) {}, raw, 0, 0},
		"one source ends": {func(sources map[string]*node, target *node) {
			order, _, _ := target.table.Next(now)
			delete(sources, order.Address)
			target.table.Fail(now, order)
		}, raw, 1, 0},
		"the next version comes": {func(sources map[string]*node, target *node) {
			for address, source := range sources {
				source.adopt(10, next)
				target.table.Announce(distribution.Source{Address: address, Version: 10})
			}
		}, next, 0, 1},
		"two more versions come": {func(sources map[string]*node, target *node) {
			for address, source := range sources {
				source.adopt(10, next)
				source.adopt(11, routes(11, 2002))
				target.table.Announce(distribution.Source{Address: address, Version: 11})
			}
		}, routes(11, 2002), 1, 2},
		"one source sends other bytes": {func(_ map[string]*node, target *node) {
			order, _, _ := target.table.Next(now)
			require.Error(t, target.table.ReceiveChunk(now, order, []byte("wrong")))
		}, raw, 1, 0},
		"one source sends another chunk": {func(sources map[string]*node, target *node) {
			order, _, _ := target.table.Next(now)
			manifest, _ := sources["a"].archive.Manifest()
			other, _, err := sources["a"].archive.Chunk(manifest.Chunks[len(manifest.Chunks)-1])
			require.NoError(t, err)
			require.Error(t, target.table.ReceiveChunk(now, order, other))
		}, raw, 1, 0},
		"a version beyond the size": {func(_ map[string]*node, target *node) {
			target.table.Announce(distribution.Source{Address: "c", Version: 50})
			order, _, _ := target.table.Next(now)
			target.table.Miss(now, order)
			order, _, _ = target.table.Next(now)
			require.Equal(t, distribution.Order{Address: "c", Version: 50}, order)
			require.Error(t, target.table.ReceiveManifest(order, distribution.Manifest{Version: 50, Bytes: distribution.MaxBytes + 1}))
		}, raw, 1, 0},
		"an instance that has an older version": {func(sources map[string]*node, target *node) {
			sources["c"] = newNode(4)
			sources["c"].adopt(3, routes(3, 10))
			target.table.Announce(distribution.Source{Address: "c", Version: 50})
		}, raw, 1, 0},
	} {
		t.Run(name, func(t *testing.T) {
			sources, target := begin()
			test.disturb(sources, target)
			_, chunks := target.copyAll(t, now, sources)
			require.True(t, bytes.Equal(test.want, target.raw))
			empty := newNode(5)
			empty.table.Announce(distribution.Source{Address: "a", Version: 9})
			_, whole := empty.copyAll(t, now, map[string]*node{"a": nine})
			require.LessOrEqual(t, chunks, whole-3+test.repeated+test.changes*whole/10)
		})
	}
}

// TestManySourcesThatAreGone guards against a copy that never begins because all known sources are gone.
func TestManySourcesThatAreGone(t *testing.T) {
	now := time.Unix(1000, 0)
	target, source := newNode(1), newNode(2)
	raw := routes(9, 100)
	source.adopt(9, raw)
	for i := range 40 {
		target.table.Announce(distribution.Source{Address: fmt.Sprint("gone ", i), Version: 9})
		order, _, found := target.table.Next(now)
		if found {
			target.table.Fail(now, order)
		}
	}
	target.table.Announce(distribution.Source{Address: "a", Version: 9})
	for target.raw == nil && now.Before(time.Unix(1010, 0)) {
		order, _, found := target.table.Next(now)
		if !found {
			now = now.Add(10 * time.Millisecond)
			continue
		}
		target.answer(t, now, order, map[string]*node{"a": source}[order.Address])
		if complete, done := target.table.Take(); done {
			target.adopt(complete.Version, complete.Raw)
		}
	}
	require.Equal(t, raw, target.raw)
}

// TestHeldVersionIsNotCopied guards against copies of versions that are in force or lower, and of one that
// could not be decoded.
func TestHeldVersionIsNotCopied(t *testing.T) {
	now := time.Unix(1000, 0)
	target := newNode(1)
	target.table.SetHeld(9)
	target.table.Announce(distribution.Source{Address: "a", Version: 9})
	target.table.Announce(distribution.Source{Address: "a", Version: 3})
	_, retryAt, found := target.table.Next(now)
	require.False(t, found)
	require.Zero(t, retryAt)
	target.table.Announce(distribution.Source{Address: "a", Version: 10})
	_, _, found = target.table.Next(now)
	require.True(t, found)
	_, _, found = target.table.Next(now)
	require.False(t, found, "one request at a time")
}

// TestArchiveKeepsEarlierVersion guards that a copy that began before the newest version came can be
// completed.
func TestArchiveKeepsEarlierVersion(t *testing.T) {
	archive := distribution.NewArchive()
	archive.Add(10, routes(10, 10))
	archive.Add(9, routes(9, 10))
	archive.Add(8, routes(8, 10))
	for version, kept := range map[uint64]bool{10: true, 9: true, 8: false} {
		_, found, err := archive.Chunk(publication.HashOf(routes(version, 10)))
		require.NoError(t, err)
		require.Equal(t, kept, found, version)
	}
	manifest, _ := archive.Manifest()
	require.EqualValues(t, 10, manifest.Version)
}
