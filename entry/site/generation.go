package site

import (
	"context"
	"sync"
	"time"

	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"

	"papayaport.dev/serving/process/generation"
	"papayaport.dev/serving/process/platform"
	"papayaport.dev/serving/process/platform/store"
)

const (
	// ownPrefix is the prefix of all keys that entry instances write.
	ownPrefix = "papayaport/"
	// generationKey is the key of the marker of the store's generation.
	generationKey = ownPrefix + "generation"
)

// generationState is what this process knows about the generation of the store. mu is locked before
// that of the leases.
type generationState struct {
	mu sync.Mutex
	// observed is the generation to which this process's leases belong, and earliest the first one
	// that it has seen.
	observed, earliest uint64
	// marker is the last marker that was read or written.
	marker generation.Marker
}

// observeGeneration returns the generation of the store. Leases of an earlier one end before it
// returns.
func (s *Site) observeGeneration() uint64 {
	now := s.platform.Store.Generation()
	s.generation.mu.Lock()
	defer s.generation.mu.Unlock()
	if s.generation.observed >= now {
		return s.generation.observed
	}
	if before := s.generation.observed; before > 0 {
		s.logger("site").WithFields(logrus.Fields{"generation": now, "before": before}).
			Warn("site: the store has lost acknowledged writes, they are written again")
	}
	if s.generation.earliest == 0 {
		s.generation.earliest = now
	}
	s.generation.observed = now
	s.leases.Invalidate()
	return now
}

// generationMarker returns the marker of the present generation, which it writes if no other
// instance has. It is the zero value for a store without generations.
func (s *Site) generationMarker(ctx context.Context) (generation.Marker, error) {
	s.generation.mu.Lock()
	known := s.generation.marker
	s.generation.mu.Unlock()
	if present := s.observeGeneration(); present > 0 && known.Names(present) {
		return known, nil
	}
	entry, err := s.platform.Store.Get(ctx, generationKey)
	if err != nil && !errors.Is(err, store.ErrNotFound) {
		return generation.Marker{}, err
	}
	present := s.observeGeneration()
	if present == 0 {
		return generation.Marker{}, nil
	}
	marker, err := generation.Decode(entry.Value)
	if err != nil {
		s.logger("site").WithError(err).Warn("site: marker of the store's generation is replaced")
	}
	if !marker.Names(present) {
		marker, err = s.writeGenerationMarker(ctx, present, entry.Revision)
		var conflict *store.Conflict
		if errors.As(err, &conflict) { // instances that start together write it at the same time
			marker, err = generation.Decode(conflict.Entry.Value)
		}
		if err == nil && !marker.Names(present) {
			err = errors.Wrap(store.ErrUnavailable, "marker of another generation")
		}
		if err != nil {
			return generation.Marker{}, err
		}
	}
	s.generation.mu.Lock()
	defer s.generation.mu.Unlock()
	s.generation.marker = marker
	return marker, nil
}

// writeGenerationMarker writes the marker of a generation. A store without any keys of entry
// instances is used for the first time, unless this process has seen an earlier generation.
func (s *Site) writeGenerationMarker(ctx context.Context, present, ifRevision uint64) (generation.Marker, error) {
	own, err := s.platform.Store.List(ctx, ownPrefix)
	if err != nil {
		return generation.Marker{}, err
	}
	s.generation.mu.Lock()
	first := len(own.Entries) == 0 && s.generation.earliest == present
	s.generation.mu.Unlock()
	marker := generation.Begin(present, s.calendar.Now(), first)
	value, err := marker.Encode()
	if err != nil {
		return generation.Marker{}, err
	}
	if _, err := s.platform.Store.Put(ctx, generationKey, value, ifRevision); err != nil {
		return generation.Marker{}, err
	}
	s.logger("site").WithFields(logrus.Fields{"generation": present, "first": marker.First}).Info("site: generation of the store marked")
	return marker, nil
}

// settledLeases is a lease.Store that grants no lease until those of earlier generations of the
// store have ended.
type settledLeases struct {
	expiringLeases
	site *Site
}

// Acquire implements lease.Store.
func (l settledLeases) Acquire(ctx context.Context, name, holder string, ttl time.Duration) (platform.Lease, error) {
	marker, err := l.site.generationMarker(ctx)
	if err != nil {
		return platform.Lease{}, err
	}
	if wait := marker.SettlesIn(l.site.calendar.Now(), ttl); wait > 0 {
		return platform.Lease{}, &store.Conflict{Lease: &platform.Lease{Name: name, TTLMS: wait.Milliseconds()}}
	}
	return l.expiringLeases.Acquire(ctx, name, holder, ttl)
}
