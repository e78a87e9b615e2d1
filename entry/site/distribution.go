package site

import (
	"context"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"

	"papayaport.dev/serving/connection/peer"
	"papayaport.dev/serving/process/clock"
	"papayaport.dev/serving/version/distribution"
)

const (
	// configurationWaitShare is how long the store holds a read of an unchanged configuration, as a
	// share of leaving_ms. While the store is about to drop its history, a read that it holds may
	// not hear of a change, and a partition may silence its connection.
	configurationWaitShare = 0.5
	// maxViewConfigurationBytes is the size up to which a configuration is a part of each view: 0.1 s on
	// a link of 10 Mbit/s.
	maxViewConfigurationBytes = 64 << 10
	// copyTimeout bounds a request for a part of a configuration to a peer. The largest part takes
	// 26 ms on a link of 10 Mbit/s; twenty instances may ask the same peer at once.
	copyTimeout = 700 * time.Millisecond
	// idleCopyPeriod bounds the wait between two looks at the table of copies.
	idleCopyPeriod = time.Second
)

// isConfigurationInView reports whether views of the store include the configuration, which saves the
// calls that watch it. A large one would delay the list of backend servers on a slow link.
func (s *Site) isConfigurationInView() bool {
	return s.configurationBytes.Load() <= maxViewConfigurationBytes
}

// runConfiguration follows a large configuration in the store while this instance does not get it
// from a reader.
func (s *Site) runConfiguration(ctx context.Context) error {
	var revision uint64
	wait := time.Duration(configurationWaitShare * float64(milliseconds(s.settings.LeavingMS)))
	for ctx.Err() == nil {
		if s.followsReader.Load() || s.isConfigurationInView() {
			if err := clock.Sleep(ctx, readerQueryPeriod); err != nil {
				return err
			}
			continue
		}
		raw, next, err := s.platform.Viewer.Configuration(ctx, revision, wait)
		if err != nil {
			s.logger("configuration").WithError(err).Debug("configuration: read from the store failed")
			if err := clock.Sleep(ctx, viewRetryDelay); err != nil {
				return err
			}
			continue
		}
		if len(raw) > 0 {
			s.adopt(raw, "store")
		}
		revision = next
	}
	return ctx.Err()
}

// announce records that a peer has a version in force.
func (s *Site) announce(source distribution.Source) {
	s.distribution.Announce(source)
	select {
	case s.announced <- struct{}{}:
	default: // the loop looks at the table anyway
	}
}

// runDistribution copies higher versions from peers.
func (s *Site) runDistribution(ctx context.Context) error {
	for {
		order, retryAt, found := s.distribution.Next(time.Now())
		if !found {
			wait := idleCopyPeriod
			if !retryAt.IsZero() {
				wait = min(wait, time.Until(retryAt))
			}
			select {
			case <-ctx.Done():
				return ctx.Err()
			case <-s.announced:
			case <-time.After(wait):
			}
			continue
		}
		s.request(ctx, order)
		if complete, done := s.distribution.Take(); done {
			s.adopt(complete.Raw, "peer "+complete.Address)
			// A version that can't be decoded is not copied again.
			s.distribution.SetHeld(complete.Version)
		}
	}
}

// request executes an order and records its result.
func (s *Site) request(ctx context.Context, order distribution.Order) {
	start := time.Now()
	limited, cancel := context.WithTimeout(ctx, copyTimeout)
	defer cancel()
	var err error
	if order.Chunk == "" {
		err = s.requestManifest(limited, order)
	} else {
		err = s.requestChunk(limited, order)
	}
	if err == nil || ctx.Err() != nil {
		return
	}
	s.logger("configuration").WithError(err).WithFields(logrus.Fields{
		"peer": order.Address, "version": order.Version, "after_ms": time.Since(start).Milliseconds(),
	}).Warn("configuration: copy from a peer failed")
	for _, other := range s.randomPeers() {
		s.distribution.Announce(distribution.Source{Address: other.PeerAddress, Version: order.Version})
	}
}

func (s *Site) requestManifest(ctx context.Context, order distribution.Order) error {
	var manifest distribution.Manifest
	data, err := s.peers.Manifest(ctx, order.Address, "")
	if errors.Is(err, peer.ErrNotFound) {
		return s.copyWhole(order)
	}
	if err == nil {
		err = errors.Wrap(cbor.Unmarshal(data, &manifest), "decode manifest")
	}
	if err != nil {
		s.distribution.Fail(time.Now(), order)
		return err
	}
	return s.distribution.ReceiveManifest(order, manifest)
}

// copyWhole copies a configuration from an instance that runs an older version of the program, which
// offers no chunks.
func (s *Site) copyWhole(order distribution.Order) error {
	defer func() { s.distribution.Fail(time.Now(), order) }() // has no effect on a version that is held
	ctx, cancel := context.WithTimeout(context.Background(), milliseconds(s.settings.LeavingMS))
	defer cancel()
	raw, err := s.peers.Head(ctx, order.Address)
	if err != nil {
		return err
	}
	s.adopt(raw, "peer "+order.Address)
	return nil
}

func (s *Site) requestChunk(ctx context.Context, order distribution.Order) error {
	data, err := s.peers.Chunk(ctx, order.Address, string(order.Chunk))
	switch {
	case errors.Is(err, peer.ErrNotFound):
		s.distribution.Miss(time.Now(), order)
		return nil
	case err != nil:
		s.distribution.Fail(time.Now(), order)
		return err
	}
	return s.distribution.ReceiveChunk(time.Now(), order, data)
}

// checkStarted marks this instance as fully started once it knows a configuration and backend
// servers.
func (s *Site) checkStarted() {
	if s.fleetKnown.Load() && s.keeper.Current() != nil {
		s.startedOnce.Do(func() { close(s.fullyStarted) })
	}
}
