package engine

import (
	"maps"
	"slices"
	"time"

	wire "papayaport.dev/serving/connection/engine"
)

// reportInterval is the minimum time between two retained load reports.
const reportInterval = 10 * time.Millisecond

type report struct {
	at   time.Time
	load wire.Load
}

// Load returns the newest report that is at least as old as LoadLagMS, or the oldest one.
func (m *Model) Load(now time.Time) wire.Load {
	m.sample(now)
	chosen := m.reports[0]
	for _, r := range m.reports {
		if !r.at.After(now.Add(-m.cfg.loadLag())) {
			chosen = r
		}
	}
	load := chosen.load
	load.AgeMS = now.Sub(chosen.at).Milliseconds()
	if load.Leaving {
		load.LeaveInMS = max(0, m.leaveAt.Sub(now).Milliseconds())
	}
	return load
}

// sample retains a report of the current load and drops those that Load no longer needs.
func (m *Model) sample(now time.Time) {
	if n := len(m.reports); n > 0 && m.cfg.LoadLagMS > 0 && now.Sub(m.reports[n-1].at) < reportInterval {
		return
	}
	m.reports = append(m.reports, report{at: now, load: m.currentLoad()})
	limit := now.Add(-m.cfg.loadLag())
	for len(m.reports) > 1 && !m.reports[1].at.After(limit) {
		m.reports = m.reports[1:]
	}
}

func (m *Model) currentLoad() wire.Load {
	load := wire.Load{
		Incarnation:    m.cfg.Incarnation,
		Running:        len(m.running),
		Queued:         len(m.queued),
		Slots:          m.cfg.Slots,
		CacheTokens:    m.cache.tokens(),
		CacheCapacity:  m.cfg.CacheTokens,
		Models:         slices.Sorted(maps.Keys(m.models)),
		Leaving:        !m.leaveAt.IsZero(),
		PrefillPerSec:  m.cfg.PrefillPerSecond / m.slow,
		DecodeMS:       m.cfg.DecodeMS * m.slow,
		RecomputeTotal: m.totals.recomputed,
		ComputedTotal:  m.totals.computed,
		CachedTotal:    m.totals.cached,
	}
	for _, j := range slices.Concat(m.running, m.queued) {
		load.PrefillTokens += int(j.prefill)
	}
	for _, j := range m.queued {
		load.PrefillTokens += j.usage.PromptTokens
	}
	return load
}

// Reclaim announces that the engine is reclaimed after leaveIn, and returns the effective time.
// A later notice replaces an earlier one only if its time is earlier.
func (m *Model) Reclaim(now time.Time, leaveIn time.Duration) time.Time {
	at := now.Add(leaveIn)
	if m.leaveAt.IsZero() {
		m.noticeTime = now
	}
	if m.leaveAt.IsZero() || at.Before(m.leaveAt) {
		m.leaveAt = at
	}
	return m.leaveAt
}
