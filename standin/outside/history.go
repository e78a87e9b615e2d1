package outside

import (
	"slices"
	"strings"
	"time"
)

// keptPrefixes are the keys whose changes the store remembers: what the system says of
// roll-outs to the operator, and what it keeps of them for itself.
var keptPrefixes = []string{statusPrefix, "papayaport/rollouts/"}

// ownedPrefixes are the keys that only operators and backend servers write.
var ownedPrefixes = []string{"op/", "servers/"}

// Write is a change of a key that the store carried out.
type Write struct {
	Key      string
	Value    []byte
	Revision uint64
	At       time.Time
}

// Trap is what happens to one change that the store waits for.
type Trap int

// Traps.
const (
	// LoseAnswer carries the change out and resets the connection without an answer.
	LoseAnswer Trap = iota
	// GoDown fails the change and all calls from then on, until the store is no longer down.
	GoDown
)

type trap struct {
	key, contains string
	kind          Trap
	caught        time.Time
}

// Trap waits for the next change of the system that writes a key with a value that contains
// a text.
func (s *Store) Trap(key, contains string, kind Trap) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.trap = &trap{key: key, contains: contains, kind: kind}
}

// Trapped returns when the change came that Trap waited for, the zero time before.
func (s *Store) Trapped() time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.trap == nil {
		return time.Time{}
	}
	return s.trap.caught
}

// Writes returns the changes of a key in their order; only keys of keptPrefixes have any.
func (s *Store) Writes(key string) []Write {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Clone(s.writes[key])
}

// Forbidden returns the keys that the system tried to change though only operators and
// backend servers may.
func (s *Store) Forbidden() []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Clone(s.forbidden)
}

// remember keeps a change that was carried out.
func (s *Store) remember(item Item) {
	if hasPrefix(item.Key, keptPrefixes) {
		s.writes[item.Key] = append(s.writes[item.Key], Write{item.Key, item.Value, item.Revision, time.Now()})
	}
}

// forbid notes the keys of a change that the system may not write, and tells whether there
// are any.
func (s *Store) forbid(change transaction) bool {
	keys := slices.Clone(change.Remove)
	for _, row := range change.Write {
		keys = append(keys, row.Key)
	}
	keys = slices.DeleteFunc(keys, func(key string) bool { return !hasPrefix(key, ownedPrefixes) })
	s.forbidden = append(s.forbidden, keys...)
	return len(keys) > 0
}

// spring returns the trap that a change sets off, nil for none. Each goes off once.
func (s *Store) spring(change transaction) *trap {
	if s.trap == nil || !s.trap.caught.IsZero() {
		return nil
	}
	for _, row := range change.Write {
		if row.Key == s.trap.key && strings.Contains(string(row.Value), s.trap.contains) {
			s.trap.caught = time.Now()
			return s.trap
		}
	}
	return nil
}

func hasPrefix(key string, prefixes []string) bool {
	return slices.ContainsFunc(prefixes, func(prefix string) bool { return strings.HasPrefix(key, prefix) })
}
