package directory

import (
	"cmp"
	"slices"
)

// Delta holds the differences of a list of servers from an earlier one.
type Delta struct {
	Changed []Server `cbor:"1,keyasint,omitempty"`
	// Gone holds the ids of servers that are no longer listed.
	Gone []string `cbor:"2,keyasint,omitempty"`
}

// Diff returns the differences of after from before.
func Diff(before, after []Server) Delta {
	known := map[string]Server{}
	for _, server := range before {
		known[server.ID] = server
	}
	var delta Delta
	for _, server := range after {
		if old, found := known[server.ID]; !found || old != server {
			delta.Changed = append(delta.Changed, server)
		}
		delete(known, server.ID)
	}
	for id := range known {
		delta.Gone = append(delta.Gone, id)
	}
	slices.Sort(delta.Gone)
	return delta
}

// Apply returns the list that a delta leads to from before, sorted by id.
func (d Delta) Apply(before []Server) []Server {
	changed := map[string]bool{}
	for _, server := range d.Changed {
		changed[server.ID] = true
	}
	after := slices.Clone(d.Changed)
	for _, server := range before {
		if !changed[server.ID] && !slices.Contains(d.Gone, server.ID) {
			after = append(after, server)
		}
	}
	slices.SortFunc(after, func(a, b Server) int { return cmp.Compare(a.ID, b.ID) })
	return after
}
