package measure

import (
	"context"
	"maps"
	"net/http"
	"sync"
	"time"

	wire "papayaport.dev/serving/connection/engine"
	"papayaport.dev/standin/engine"
	"papayaport.dev/standin/launch"
	"papayaport.dev/standin/load"
)

const (
	// sampleInterval is the interval at which the engines' load is sampled.
	sampleInterval = 40 * time.Millisecond
	// maxSampleGap is the maximum busy time that one sample adds.
	maxSampleGap = 200 * time.Millisecond
)

// metered holds the samples of one engine.
type metered struct {
	process   *launch.Process
	sampledAt time.Time
	busy      time.Duration
	load      wire.Load
	runs      engine.Runs
}

// meter samples the engines' load while they run. Its mutex guards the engines.
type meter struct {
	system *launch.System
	http   *http.Client

	mu      sync.Mutex
	engines []*metered
}

func newMeter(system *launch.System, client *http.Client) *meter {
	m := &meter{system: system, http: client}
	for _, p := range system.Engines {
		m.engines = append(m.engines, &metered{process: p})
	}
	return m
}

// run samples all engines until ctx ends.
func (m *meter) run(ctx context.Context) error {
	var group sync.WaitGroup
	for _, e := range m.engines {
		group.Go(func() { m.watch(ctx, e) })
	}
	group.Wait()
	return nil
}

// watch samples one engine. The time between two samples counts as busy if the second one has a
// running request.
func (m *meter) watch(ctx context.Context, e *metered) {
	client := wire.New(m.http, e.process.URL())
	for sleep(ctx, sampleInterval) {
		report, err := client.Load(ctx)
		if err != nil {
			continue
		}
		m.addSample(e, report, time.Now())
	}
}

func (m *meter) addSample(e *metered, report wire.Load, now time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if report.Running > 0 && !e.sampledAt.IsZero() {
		e.busy += min(now.Sub(e.sampledAt), maxSampleGap)
	}
	e.sampledAt, e.load = now, report
}

// readRuns reads the recorded runs of the running engines.
func (m *meter) readRuns(ctx context.Context) {
	for _, e := range m.engines {
		runs, err := m.system.EngineRuns(ctx, e.process)
		if err != nil {
			continue
		}
		m.mu.Lock()
		e.runs = runs
		m.mu.Unlock()
	}
}

// cost returns the price of the engines' busy time in dollars.
func (m *meter) cost() float64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	total := 0.0
	for _, e := range m.engines {
		total += e.busy.Hours() * e.process.Instance.PricePerHour
	}
	return total
}

// computed returns the number of prompt tokens that the engines computed.
func (m *meter) computed() int64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	total := int64(0)
	for _, e := range m.engines {
		total += e.load.ComputedTotal
	}
	return total
}

// starts returns the number of attempts that the engines started.
func (m *meter) starts() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	total := 0
	for _, e := range m.engines {
		for starts := range maps.Values(e.runs.Prompts) {
			total += starts
		}
	}
	return total
}

// needed returns the number of prompt tokens that one engine with an unlimited cache computes for
// the answered requests, one after another.
func needed(model string, outcomes []load.Outcome) (int64, error) {
	cfg := engine.Default()
	cfg.CacheTokens = 1 << 26
	cfg.PrefillPerSecond = 1e9
	m := engine.New(cfg)
	now := time.Unix(0, 0)
	for i := range outcomes {
		if outcomes[i].Err != nil {
			continue
		}
		a := outcomes[i].Arrival
		if _, err := m.Submit(now, wire.Completion{Model: model, Messages: a.Messages, MaxTokens: a.MaxTokens}); err != nil {
			return 0, err
		}
		for next := m.Next(); !next.IsZero(); next = m.Next() {
			now = next
			m.Advance(now)
		}
	}
	return m.Load(now).ComputedTotal, nil
}
