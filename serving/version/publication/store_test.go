package publication

import (
	"context"
	"slices"
	"strings"
	"time"

	"github.com/sirupsen/logrus"

	"papayaport.dev/serving/process/platform"
	"papayaport.dev/serving/process/platform/store"
)

// fakeStore is a key-value service that can fail in every way the real one does. It records
// every accepted head; that list is the oracle of the tests.
type fakeStore struct {
	draw     draw
	values   map[string]platform.Entry
	history  map[string][]platform.Entry
	revision uint64
	accepted []Head
	// lateWrites holds writes whose reply was lost and that take effect later.
	lateWrites []func()

	down, stale, losesReplies bool
	// onCall runs inside calls of a collection, to interleave publications.
	onCall func()
}

func newFakeStore(draw draw) *fakeStore {
	return &fakeStore{draw: draw, values: map[string]platform.Entry{}, history: map[string][]platform.Entry{}, onCall: func() {}}
}

func (s *fakeStore) Get(_ context.Context, key string) (platform.Entry, error) {
	s.onCall()
	if s.down {
		return platform.Entry{}, store.ErrUnavailable
	}
	entry, ok := s.values[key]
	if s.stale && s.draw(2) == 0 {
		at := s.draw(len(s.history[key]) + 1)
		if at == 0 {
			return platform.Entry{}, store.ErrNotFound
		}
		return s.history[key][at-1], nil
	}
	if !ok {
		return platform.Entry{}, store.ErrNotFound
	}
	return entry, nil
}

func (s *fakeStore) Put(_ context.Context, key string, value []byte, ifRevision uint64) (platform.Entry, error) {
	if s.down {
		return platform.Entry{}, store.ErrUnavailable
	}
	if s.losesReplies && s.draw(3) == 0 {
		write := func() { _, _ = s.apply(key, value, ifRevision) }
		switch s.draw(3) {
		case 0:
			write()
		case 1:
			s.lateWrites = append(s.lateWrites, write)
		}
		return platform.Entry{}, store.ErrUnknown
	}
	return s.apply(key, value, ifRevision)
}

func (s *fakeStore) apply(key string, value []byte, ifRevision uint64) (platform.Entry, error) {
	old := s.values[key]
	if ifRevision != store.AnyRevision && old.Revision != ifRevision {
		return platform.Entry{}, &store.Conflict{Entry: old}
	}
	s.revision++
	entry := platform.Entry{Key: key, Value: value, Revision: s.revision}
	s.values[key] = entry
	s.history[key] = append(s.history[key], entry)
	if key == HeadKey && string(old.Value) != string(value) {
		head, _ := DecodeHead(value)
		s.accepted = append(s.accepted, head)
	}
	return entry, nil
}

func (s *fakeStore) Delete(_ context.Context, key string, ifRevision uint64) error {
	s.onCall()
	if s.down {
		return store.ErrUnavailable
	}
	if old := s.values[key]; old.Revision != ifRevision {
		return &store.Conflict{Entry: old}
	}
	delete(s.values, key)
	return nil
}

func (s *fakeStore) List(_ context.Context, prefix string) (platform.Entries, error) {
	s.onCall()
	if s.down {
		return platform.Entries{}, store.ErrUnavailable
	}
	entries := platform.Entries{Revision: s.revision}
	for key, entry := range s.values {
		if strings.HasPrefix(key, prefix) {
			entries.Entries = append(entries.Entries, entry)
		}
	}
	slices.SortFunc(entries.Entries, func(a, b platform.Entry) int { return strings.Compare(a.Key, b.Key) })
	return entries, nil
}

func (s *fakeStore) Watch(ctx context.Context, prefix string, after uint64, wait time.Duration) (platform.Entries, error) {
	until := time.Now().Add(wait)
	for time.Now().Before(until) && ctx.Err() == nil {
		if entry := s.values[prefix]; entry.Revision > after {
			return platform.Entries{Entries: []platform.Entry{entry}}, nil
		}
		time.Sleep(10 * time.Millisecond)
	}
	return platform.Entries{}, nil
}

func quietLogger() *logrus.Logger {
	log := logrus.New()
	log.SetLevel(logrus.PanicLevel)
	return log
}
