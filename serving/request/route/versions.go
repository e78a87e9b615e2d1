package route

import "slices"

// Versions bounds which versions of a service's backend servers may take a request. The
// zero value allows all.
type Versions struct {
	// Only is the one version that is allowed, empty for any.
	Only string
	// Not holds versions that are not allowed.
	Not []string
	// Most bounds the number of servers of Only that are used, 0 for no bound. They are those
	// with the lowest hashes of their ids, so the same at all entry instances.
	Most int
}

// allow tells whether a version may take a request.
func (v *Versions) allow(version string) bool {
	if v.Only != "" && version != v.Only {
		return false
	}
	return len(v.Not) == 0 || !slices.Contains(v.Not, version)
}

// restrict tells whether any server may be left out.
func (v *Versions) restrict() bool { return v.Only != "" || len(v.Not) > 0 }

// lastHash returns the highest hash that a server may have under Most. Servers that are
// leaving or not listed have no place among the first, whereas those that are barred or
// asked for nothing keep theirs: that is known to some entry instances only.
func (t *Table) lastHash(g *group) (hash uint64, bounded bool) {
	versions := &t.request.Versions
	if versions.Only == "" || versions.Most <= 0 {
		return 0, false
	}
	t.hashes = t.hashes[:0]
	for _, b := range g.backends {
		if !b.leaving && !b.unlisted && versions.allow(b.Version) {
			t.hashes = append(t.hashes, b.hash)
		}
	}
	if len(t.hashes) <= versions.Most {
		return 0, false
	}
	slices.Sort(t.hashes)
	return t.hashes[versions.Most-1], true
}
