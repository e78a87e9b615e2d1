package route

import "slices"

// Versions restricts which versions of a service's backend servers may run a request. The zero
// value allows all.
type Versions struct {
	// Only is the single allowed version, empty for any.
	Only string
	// Not holds the versions that are not allowed.
	Not []string
	// MaxServers limits the number of servers of version Only that are used, 0 for no limit. The servers
	// with the lowest id hashes are used, which are the same at all entry instances.
	MaxServers int
}

// allows reports whether servers of a version may run the request.
func (v *Versions) allows(version string) bool {
	if v.Only != "" && version != v.Only {
		return false
	}
	return len(v.Not) == 0 || !slices.Contains(v.Not, version)
}

// restricts reports whether any version is excluded.
func (v *Versions) restricts() bool { return v.Only != "" || len(v.Not) > 0 }

// maxHash returns the highest id hash of the servers within the server limit. Leaving and unlisted
// servers do not count towards the limit. Servers that are ejected or closed by backpressure do:
// only some entry instances have that state, and the selection must be the same at all.
func (t *Table) maxHash(g *group) (hash uint64, bounded bool) {
	versions := &t.request.Versions
	if versions.Only == "" || versions.MaxServers <= 0 {
		return 0, false
	}
	t.hashes = t.hashes[:0]
	for _, b := range g.backends {
		if !b.leaving && !b.unlisted && versions.allows(b.Version) {
			t.hashes = append(t.hashes, b.hash)
		}
	}
	if len(t.hashes) <= versions.MaxServers {
		return 0, false
	}
	slices.Sort(t.hashes)
	return t.hashes[versions.MaxServers-1], true
}
