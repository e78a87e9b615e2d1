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
	// meterEvery is the time between two looks at an engine's load.
	meterEvery = 40 * time.Millisecond
	// longestGap bounds the busy time that one look stands for.
	longestGap = 200 * time.Millisecond
)

// metered is what is known of one engine.
type metered struct {
	process *launch.Process
	looked  time.Time
	busy    time.Duration
	load    wire.Load
	runs    engine.Runs
}

// meter looks at the engines' load while they live. Its mutex guards the engines.
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

// run looks at all engines until ctx ends.
func (m *meter) run(ctx context.Context) error {
	var open sync.WaitGroup
	for _, e := range m.engines {
		open.Go(func() { m.watch(ctx, e) })
	}
	open.Wait()
	return nil
}

// watch looks at one engine. The time between two looks counts as busy when the second
// one found a running request.
func (m *meter) watch(ctx context.Context, e *metered) {
	client := wire.New(m.http, e.process.URL())
	for sleep(ctx, meterEvery) {
		report, err := client.Load(ctx)
		if err != nil {
			continue
		}
		m.take(e, report, time.Now())
	}
}

func (m *meter) take(e *metered, report wire.Load, now time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if report.Running > 0 && !e.looked.IsZero() {
		e.busy += min(now.Sub(e.looked), longestGap)
	}
	e.looked, e.load = now, report
}

// readRuns reads what the engines that live have run.
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

// computed returns the prompt tokens that the engines computed.
func (m *meter) computed() int64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	total := int64(0)
	for _, e := range m.engines {
		total += e.load.ComputedTotal
	}
	return total
}

// starts returns the attempts that began at an engine.
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

// needed returns the prompt tokens that one engine with an unlimited cache computes when
// it answers the answered requests one after the other.
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
