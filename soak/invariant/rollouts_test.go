package invariant_test

import (
	"testing"

	"github.com/stretchr/testify/require"

	"papayaport.dev/soak/caller"
	"papayaport.dev/soak/invariant"
	"papayaport.dev/standin/fakeplatform"
)

// orderRecord returns a record of an order of 8 s, with states by the time of their write in
// milliseconds.
func orderRecord(bad bool, written map[int]string) invariant.Record {
	o := invariant.Rollout{Span: invariant.Span{From: at(0), To: at(8000)}, Now: at(9000), Bad: bad}
	o.Counts.Total = 1000
	for _, ms := range []int{100, 5000, 6000, 9000} {
		if state, found := written[ms]; found {
			o.States = append(o.States, fakeplatform.State{State: state, To: "v2", At: at(ms)})
		}
	}
	return invariant.Record{Rollouts: []invariant.Rollout{o}}
}

// withArrivals adds requests that reached the ordered version through instance 0.
func withArrivals(r invariant.Record, count, ms int) invariant.Record {
	for i := range count {
		id := requestID(len(r.Answers) + i)
		r.Rollouts[0].Candidate = append(r.Rollouts[0].Candidate, run(id, "v2", ms))
	}
	for _, one := range r.Rollouts[0].Candidate[len(r.Answers):] {
		r.Answers = append(r.Answers, answer(one.ID, caller.Resume, 500, ""))
	}
	return r
}

func withBadResponses(r invariant.Record, count, ms int) invariant.Record {
	for range count {
		r.Rollouts[0].Counts.Bad = append(r.Rollouts[0].Counts.Bad, at(ms))
	}
	return r
}

func withCutRequests(r invariant.Record, requests int) invariant.Record {
	r.Rollouts[0].Counts.Interrupted = requests
	return r
}

func withServersDisturbed(r invariant.Record) invariant.Record {
	r.Rollouts[0].ServersDisturbed = true
	return r
}

func withStoreCutoff(r invariant.Record, entry, from, to int) invariant.Record {
	r.StoreCutoffs = append(r.StoreCutoffs, invariant.StoreCutoff{Entry: entry, Span: invariant.Span{From: at(from), To: at(to)}})
	return r
}

func withShift(r invariant.Record, ms int) invariant.Record {
	r.Rollouts[0].Shift = at(ms)
	return r
}

// TestRollouts guards against violations of orders that are not reported, and against reports of
// deviations that a fault excuses.
func TestRollouts(t *testing.T) {
	completed := map[int]string{100: "in_progress", 5000: "completed"}
	reverted := map[int]string{100: "in_progress", 5000: "reverted"}
	open := map[int]string{100: "in_progress"}
	late := map[int]string{100: "in_progress", 9000: "reverted"}
	turned := map[int]string{100: "in_progress", 5000: "reverted", 6000: "completed"}
	for name, test := range map[string]struct {
		record invariant.Record
		broken string
	}{
		"good, completed":                       {orderRecord(false, completed), ""},
		"good, reverted":                        {withArrivals(orderRecord(false, reverted), 30, 3000), "good version was reverted"},
		"good, reverted after few answers":      {withArrivals(orderRecord(false, reverted), 10, 3000), ""},
		"good, reverted beside a fault":         {withStoreCutoff(withArrivals(orderRecord(false, reverted), 30, 3000), 3, 2000, 2500), ""},
		"good, requests cut":                    {withCutRequests(orderRecord(false, completed), 2), "2 requests ran"},
		"good, requests of faulty servers":      {withServersDisturbed(withCutRequests(orderRecord(false, completed), 2)), ""},
		"bad, reverted":                         {withArrivals(orderRecord(true, reverted), 150, 3000), ""},
		"bad, completed":                        {orderRecord(true, completed), "bad version was completed"},
		"bad, completed after few bad answers":  {withShift(withBadResponses(orderRecord(true, completed), 19, 3000), 4000), ""},
		"bad, completed after many bad answers": {withShift(withBadResponses(orderRecord(true, completed), 20, 3000), 4000), "bad version was completed"},
		"bad, exposed without a shift":          {withBadResponses(withArrivals(orderRecord(true, reverted), 151, 3000), 19, 3000), "allowed are 150"},
		"verdict turned round":                  {orderRecord(false, turned), "after"},
		"bad, exposed":                          {withArrivals(orderRecord(true, reverted), 151, 3000), "allowed are 150"},
		"bad, exposed behind the deadline":      {withArrivals(orderRecord(true, reverted), 151, 8500), ""},
		"bad, exposed by an instance cut off":   {withStoreCutoff(withArrivals(orderRecord(true, reverted), 151, 3000), 0, 1000, 2000), ""},
		"bad, exposed, another one cut off":     {withStoreCutoff(withArrivals(orderRecord(true, reverted), 151, 3000), 1, 1000, 2000), "allowed are 150"},
		"bad, exposed, cut off long before":     {withStoreCutoff(withArrivals(orderRecord(true, reverted), 151, 7000), 0, 1000, 2000), "allowed are 150"},
		"bad, used too late":                    {withBadResponses(withArrivals(orderRecord(true, reverted), 1, 6500), 50, 1400), "1 requests reached"},
		"bad, used in time":                     {withBadResponses(withArrivals(orderRecord(true, reverted), 1, 6500), 50, 1600), ""},
		"bad, too few answers to know":          {withBadResponses(withArrivals(orderRecord(true, reverted), 1, 6500), 49, 1400), ""},
		"undecided":                             {orderRecord(true, open), "not decided"},
		"decided late":                          {orderRecord(true, late), "not decided"},
		"decided late behind a fault":           {withStoreCutoff(orderRecord(true, late), invariant.AllEntries, 6000, 7000), ""},
		"decided late, long behind a fault":     {withStoreCutoff(orderRecord(true, late), invariant.AllEntries, 3000, 3900), "not decided"},
		"undecided long behind a fault":         {withStoreCutoff(orderRecord(true, open), invariant.AllEntries, 3000, 3500), "not decided"},
		"decided late, fault long before":       {withStoreCutoff(orderRecord(true, late), invariant.AllEntries, 1000, 2000), "not decided"},
	} {
		t.Run(name, func(t *testing.T) {
			found := invariant.Check(test.record)
			if test.broken == "" {
				require.Empty(t, found)
				return
			}
			require.NotEmpty(t, found)
			require.Contains(t, found[0], test.broken)
		})
	}
}
