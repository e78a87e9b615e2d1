package fakeplatform

import (
	"maps"
	"slices"
	"strings"
	"time"
)

// Copy is a copy of the store's contents.
type Copy struct {
	items     map[string]Item
	leases    map[int64]lease
	revision  uint64
	lastLease int64
	at        time.Time
}

// Copy returns a copy of the contents.
func (s *Store) Copy() Copy {
	s.mu.Lock()
	defer s.mu.Unlock()
	return Copy{maps.Clone(s.items), maps.Clone(s.leases), s.revision, s.lastLease, time.Now()}
}

// Restore replaces the contents by those of a copy and begins a new era. Revisions and the ids of
// leases are given out again, and leases have the time left that they had in the copy. What operators
// and backend servers wrote or removed since is written again.
func (s *Store) Restore(from Copy) { s.RestoreAlone(from)() }

// RestoreAlone does the same, but operators and backend servers write again when the returned function
// is called.
func (s *Store) RestoreAlone(from Copy) (writeAgain func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	before := s.items
	s.items, s.leases, s.revision, s.lastLease = maps.Clone(from.items), maps.Clone(from.leases), from.revision, from.lastLease
	s.era++
	away := time.Since(from.at)
	for id, l := range s.leases {
		l.expiresAt = l.expiresAt.Add(away)
		s.leases[id] = l
	}
	close(s.changed)
	s.changed = make(chan struct{})
	return func() { s.writeAgain(before) }
}

func (s *Store) writeAgain(before map[string]Item) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, key := range slices.Sorted(maps.Keys(s.items)) {
		if _, found := before[key]; !found && isOperators(key) {
			s.revision++
			delete(s.items, key)
		}
	}
	for _, key := range slices.Sorted(maps.Keys(before)) {
		if isOperators(key) && string(before[key].Value) != string(s.items[key].Value) {
			s.put(key, before[key].Value, 0)
		}
	}
}

func isOperators(key string) bool {
	return slices.ContainsFunc(operatorPrefixes, func(prefix string) bool { return strings.HasPrefix(key, prefix) })
}
