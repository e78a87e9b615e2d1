package rollout

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"
)

// cohort describes the answers of a version on a route.
type cohort struct {
	n, failed, slow int
	// first and whole are the ratios of the slow answers.
	first, whole float64
	// usualFirst is the first ratio of the other answers; 0 stands for 1.
	usualFirst float64
	waiting    int
	servers    int
	// crashed is set if all failures are of one server.
	crashed bool
}

func (c cohort) add(e *Evidence, route string, candidate bool) {
	servers := max(c.servers, 1)
	for i := range c.n {
		server := i % servers
		if c.crashed && i < c.failed {
			server = 0
		}
		first, whole := 1.0, 1.0
		if c.usualFirst > 0 {
			first = c.usualFirst
		}
		if i >= c.failed && i < c.failed+c.slow {
			first, whole = max(c.first, 1), max(c.whole, 1)
		}
		e.update(route, fmt.Sprint("s", server), candidate, func(t *Tally) {
			t.answered(i < c.failed, first, whole)
		})
	}
	for i := range c.waiting {
		e.update(route, fmt.Sprint("s", i%servers), candidate, func(t *Tally) {
			t.Waiting = countRatio(t.Waiting, 8)
		})
	}
}

// TestEvaluate guards against bad versions that pass and good ones that are rejected.
func TestEvaluate(t *testing.T) {
	old := cohort{n: 500, failed: 2}
	tests := map[string]struct {
		candidate, old             cohort
		rareCandidate, rareOld     cohort
		recentCandidate, recentOld cohort
		want                       Verdict
		test, route                string
		recent, backstop           bool
		doubtful                   bool
	}{
		"good":            {candidate: cohort{n: 60}, old: old, want: Good},
		"good, few":       {candidate: cohort{n: 20}, old: old, want: Good},
		"too few answers": {candidate: cohort{n: 19}, old: old, want: Undecided},
		"no answers":      {old: old, want: Undecided},
		"some failures":   {candidate: cohort{n: 60, failed: 3}, old: old, want: Good},
		"doubtful": {
			candidate: cohort{n: 60, failed: 9}, old: old, want: Undecided,
			test: "failures", doubtful: true,
		},
		"doubtful, too few answers": {
			candidate: cohort{n: 15, failed: 4}, old: old, want: Undecided,
		},
		"bad": {
			candidate: cohort{n: 20, failed: 10}, old: old, want: Bad, test: "failures",
		},
		"bad at once": {
			candidate: cohort{n: 5, failed: 5}, old: old, want: Bad, test: "failures",
		},
		"bad on one route": {
			candidate: cohort{n: 400}, old: old,
			rareCandidate: cohort{n: 10, failed: 9}, rareOld: cohort{n: 100},
			want: Bad, test: "failures", route: "rare",
		},
		"bad on one route, seven answers": {
			candidate: cohort{n: 2000}, old: old,
			rareCandidate: cohort{n: 7, failed: 7}, rareOld: cohort{n: 100}, want: Good,
		},
		"bad on one route, four servers": {
			candidate: cohort{n: 400, servers: 4}, old: old,
			rareCandidate: cohort{n: 40, failed: 36, servers: 4}, rareOld: cohort{n: 100},
			want: Bad, test: "failures", route: "rare",
		},
		"bad, four servers": {
			candidate: cohort{n: 60, failed: 30, servers: 4}, old: old, want: Bad, test: "failures",
		},
		"good beside a crashed server": {
			candidate: cohort{n: 80, failed: 18, servers: 4, crashed: true}, old: old, want: Good,
		},
		"good beside a server that crashes on a rare route": {
			candidate: cohort{n: 80, servers: 4}, old: old,
			rareCandidate: cohort{n: 40, failed: 12, servers: 4, crashed: true},
			rareOld:       cohort{n: 100}, want: Good,
		},
		"one server of three fails": {
			candidate: cohort{n: 60, failed: 18, servers: 3, crashed: true}, old: old,
			want: Bad, test: "failures",
		},
		"good beside failing old servers": {
			candidate: cohort{n: 60, failed: 12}, old: cohort{n: 500, failed: 100}, want: Good,
		},
		"slow": {
			candidate: cohort{n: 40, slow: 30, first: 5}, old: old, want: Bad, test: "first",
		},
		"good, but holds no prompts yet": {
			candidate: cohort{n: 200}, old: cohort{n: 500, failed: 2, usualFirst: 0.3}, want: Good,
		},
		"slow, and holds no prompts yet": {
			candidate: cohort{n: 40, slow: 30, first: 4}, old: cohort{n: 500, failed: 2, usualFirst: 0.3}, want: Bad, test: "first",
		},
		"slow by whole answers": {
			candidate: cohort{n: 40, slow: 30, whole: 5}, old: old, want: Bad, test: "whole",
		},
		"slow beside a slow old version": {
			candidate: cohort{n: 40, slow: 40, first: 5, whole: 5},
			old:       cohort{n: 500, slow: 500, first: 5, whole: 5}, want: Good,
		},
		"a little slower": {
			candidate: cohort{n: 200, slow: 200, first: 1.6, whole: 1.6}, old: old, want: Good,
		},
		"never answers": {
			candidate: cohort{waiting: 8}, old: old, want: Bad, test: "first",
		},
		"turned bad after many good answers": {
			candidate: cohort{n: 2000}, old: old,
			recentCandidate: cohort{n: 60, failed: 20}, recentOld: cohort{n: 300},
			want: Bad, test: "failures", recent: true,
		},
		"backstop beside a crashed server": {
			candidate: cohort{n: 160, failed: 40, servers: 4, crashed: true}, old: old,
			want: Bad, test: "failures", backstop: true,
		},
		"many bad answers at the tolerated rate": {
			candidate: cohort{n: 1500, failed: 45}, old: cohort{n: 1000, failed: 20}, want: Good,
		},
		"fails everything without an old version": {
			candidate: cohort{n: 120, failed: 120}, want: Bad, test: "failures",
		},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			var all, recent Evidence
			test.recentCandidate.add(&recent, "review", true)
			test.recentOld.add(&recent, "review", false)
			all.Add(recent)
			test.candidate.add(&all, "review", true)
			test.old.add(&all, "review", false)
			test.rareCandidate.add(&all, "rare", true)
			test.rareOld.add(&all, "rare", false)
			got := evaluate(all, &recent)
			require.Equal(t, test.want, got.Verdict, "%+v", got)
			require.Equal(t, test.doubtful, got.Doubtful)
			if test.want != Bad && !test.doubtful {
				return
			}
			require.Equal(t, test.test, got.Test)
			require.Equal(t, test.route, got.Route)
			require.Equal(t, test.recent, got.Recent)
			require.Equal(t, test.backstop, got.Backstop)
			require.Positive(t, got.Bad)
			require.NotEmpty(t, got.describe())
		})
	}
}

// TestUpperBound guards against taking the observed rate of few answers for the true rate.
func TestUpperBound(t *testing.T) {
	require.InDelta(t, 1, upperBound(counts{}), 1e-9)
	require.InDelta(t, 1, upperBound(counts{n: 3, bad: 3}), 1e-9)
	require.InDelta(t, 0.2589, upperBound(counts{n: 10}), 1e-3)
	require.InDelta(t, 0.0030, upperBound(counts{n: 1000}), 1e-4)
}
