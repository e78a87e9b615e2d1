package capacity_test

import (
	"context"
	"io"
	"sync"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/stretchr/testify/require"
	"golang.org/x/sync/errgroup"

	"papayaport.dev/serving/connection/engine"
	"papayaport.dev/serving/process/capacity"
	"papayaport.dev/serving/process/platform"
	"papayaport.dev/serving/process/platform/cloud"
	"papayaport.dev/serving/process/platform/store"
	"papayaport.dev/serving/version/service"
)

// fakePlatform implements the manager's interfaces to the platform and the engines.
type fakePlatform struct {
	mu      sync.Mutex
	held    bool
	entry   platform.Entry
	started map[string]platform.Instance
	refuse  int
	loaded  map[string]bool
	drained []capacity.PlannedStop
	stopped []string
	calls   int
}

func (s *fakePlatform) Held(string) (uint64, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return 1, s.held
}

func (s *fakePlatform) Get(context.Context, string) (platform.Entry, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.calls++
	if s.entry.Revision == 0 {
		return platform.Entry{}, store.ErrNotFound
	}
	return s.entry, nil
}

func (s *fakePlatform) Put(_ context.Context, key string, value []byte, ifRevision uint64) (platform.Entry, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.calls++
	if ifRevision != s.entry.Revision {
		return platform.Entry{}, &store.Conflict{Entry: s.entry}
	}
	s.entry = platform.Entry{Key: key, Value: value, Revision: ifRevision + 1}
	return s.entry, nil
}

func (s *fakePlatform) Start(_ context.Context, in platform.Start) (platform.Instance, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.calls++
	if s.refuse > 0 {
		s.refuse--
		return platform.Instance{}, cloud.ErrRefused
	}
	started := platform.Instance{
		ID: in.RequestID, Incarnation: 1, Role: platform.BackendRole, Service: in.Service,
		FailureDomain: in.FailureDomain, Class: in.Class, Reclaimable: in.Reclaimable,
	}
	s.started[started.ID] = started
	return started, nil
}

func (s *fakePlatform) Stop(_ context.Context, id string) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.stopped = append(s.stopped, id)
	delete(s.started, id)
	return nil
}

func (s *fakePlatform) Order(_ context.Context, _ string, order engine.Order) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.loaded[order.Model] = true
	return nil
}

func (s *fakePlatform) Drain(stop capacity.PlannedStop, _ time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.drained = append(s.drained, stop)
}

func (s *fakePlatform) publishState(m *capacity.Manager) {
	s.mu.Lock()
	var list platform.Instances
	var reports []capacity.Report
	for _, instance := range s.started {
		list.Instances = append(list.Instances, instance)
		reports = append(reports, capacity.Report{Instance: instance.ID, Incarnation: 1, AllReported: true})
	}
	s.mu.Unlock()
	m.SetInstances(list)
	m.SetReports("llm", reports)
}

func TestManager(t *testing.T) {
	s := &fakePlatform{held: true, refuse: 1, started: make(map[string]platform.Instance), loaded: make(map[string]bool)}
	quiet := logrus.New()
	quiet.SetOutput(io.Discard)
	m := capacity.New(capacity.Dependencies{Store: s, Cloud: s, Engines: s, Drainer: s, Leases: s, Log: quiet}, "a", time.Now, random())
	m.SetServices([]service.File{file(), {Name: "unmanaged"}})
	require.Equal(t, []string{"capacity/llm/a"}, m.LeaseNames())
	m.SetPrices(platform.Prices{Prices: prices()})
	m.SetDemand("llm", capacity.Demand{InFlight: 10})
	ctx, cancel := context.WithCancel(context.Background())
	var group errgroup.Group
	group.Go(func() error { return m.Run(ctx) })
	t.Cleanup(func() {
		cancel()
		require.NoError(t, group.Wait())
	})
	done := func() bool {
		s.publishState(m)
		s.mu.Lock()
		defer s.mu.Unlock()
		return len(s.started) == 2 && s.loaded["m"]
	}
	require.Eventually(t, done, 15*time.Second, 50*time.Millisecond)

	s.mu.Lock()
	s.held = false
	clear(s.started)
	s.mu.Unlock()
	time.Sleep(time.Second)
	s.mu.Lock()
	before := s.calls
	s.mu.Unlock()
	s.publishState(m)
	time.Sleep(1500 * time.Millisecond)
	s.mu.Lock()
	defer s.mu.Unlock()
	require.Equal(t, before, s.calls, "no calls without the lease")
}
