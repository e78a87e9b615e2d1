package fakeplatform

import (
	"slices"
	"strings"
	"time"
)

// recordedPrefixes are the prefixes of the keys whose writes the store records: the roll-out status
// that the system reports to the operator, and its own roll-out records.
var recordedPrefixes = []string{statusPrefix, "papayaport/rollouts/"}

// operatorPrefixes are the prefixes of the keys that only operators and backend servers may write.
var operatorPrefixes = []string{"op/", "servers/"}

// Write is a committed write of a key.
type Write struct {
	Key      string
	Value    []byte
	Revision uint64
	At       time.Time
}

// WriteFault is the fault that the store injects into one matching write.
type WriteFault int

// Traps.
const (
	// LoseAnswer commits the change and resets the connection without an answer.
	LoseAnswer WriteFault = iota
	// BecomeUnavailable fails the change and all calls from then on, until the store is set available again.
	BecomeUnavailable
)

type trap struct {
	key, contains string
	kind          WriteFault
	triggeredAt   time.Time
}

// InjectWriteFault injects a fault into the system's next transaction that writes key with a value that
// contains a text.
func (s *Store) InjectWriteFault(key, contains string, kind WriteFault) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.trap = &trap{key: key, contains: contains, kind: kind}
}

// WriteFaultTime returns the time at which the fault of WriteFault was injected, or the zero time before.
func (s *Store) WriteFaultTime() time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.trap == nil {
		return time.Time{}
	}
	return s.trap.triggeredAt
}

// Writes returns the writes of a key in commit order; only keys under recordedPrefixes have any.
func (s *Store) Writes(key string) []Write {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Clone(s.writes[key])
}

// Forbidden returns the keys that the system tried to write or remove although only operators
// and backend servers may.
func (s *Store) Forbidden() []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Clone(s.forbiddenKeys)
}

// recordWrite records a committed write.
func (s *Store) recordWrite(item Item) {
	if hasPrefix(item.Key, recordedPrefixes) {
		s.writes[item.Key] = append(s.writes[item.Key], Write{item.Key, item.Value, item.Revision, time.Now()})
	}
}

// recordForbidden records the keys of a change that the system may not write, and reports whether there
// are any.
func (s *Store) recordForbidden(change transaction) bool {
	keys := slices.Clone(change.Remove)
	for _, row := range change.Write {
		keys = append(keys, row.Key)
	}
	keys = slices.DeleteFunc(keys, func(key string) bool { return !hasPrefix(key, operatorPrefixes) })
	s.forbiddenKeys = append(s.forbiddenKeys, keys...)
	return len(keys) > 0
}

// triggerTrap returns the trap that a change matches, or nil. Each trap triggers once.
func (s *Store) triggerTrap(change transaction) *trap {
	if s.trap == nil || !s.trap.triggeredAt.IsZero() {
		return nil
	}
	for _, row := range change.Write {
		if row.Key == s.trap.key && strings.Contains(string(row.Value), s.trap.contains) {
			s.trap.triggeredAt = time.Now()
			return s.trap
		}
	}
	return nil
}

func hasPrefix(key string, prefixes []string) bool {
	return slices.ContainsFunc(prefixes, func(prefix string) bool { return strings.HasPrefix(key, prefix) })
}
