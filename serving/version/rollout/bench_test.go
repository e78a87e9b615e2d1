package rollout

import (
	"fmt"
	"testing"
	"time"
)

// BenchmarkDecide measures one evaluation of a trial with reports of 380 instances, each with
// eight routes and five candidate servers.
func BenchmarkDecide(b *testing.B) {
	var evidence Evidence
	for i := range 2000 {
		evidence.update(fmt.Sprint("route-", i%8), fmt.Sprint("server-", i%5), i%10 == 0,
			func(t *Tally) { t.answered(i%100 == 0, 0.5+float64(i%7)/5, 0.5+float64(i%9)/5) })
	}
	in := Input{
		Fencing: 1,
		Orders:  []Order{{Service: "bench", To: "v2", Duration: time.Hour, Revision: 7}},
		Records: []Stored{{Revision: 9, Record: Record{
			Service: "bench", To: "v2", Order: 7, Fencing: 1, Phase: Trial,
			StartedMS: start.UnixMilli(), DurationMS: time.Hour.Milliseconds(), From: []string{"v1"},
		}}},
	}
	for i := range 380 {
		in.Reports = append(in.Reports, Report{
			Service: "bench", Order: 7, Instance: fmt.Sprint(i), Incarnation: 1, Evidence: evidence,
		})
	}
	d := NewDecider(limits)
	now := start
	b.ReportAllocs()
	for b.Loop() {
		now = now.Add(250 * time.Millisecond)
		d.Decide(now, in)
	}
}

// BenchmarkPick measures Pick and Sent in trial with 64 routes.
func BenchmarkPick(b *testing.B) {
	g := NewGate(limits)
	g.SetState(start, trialState(Trial))
	routes := make([]string, maxNamedRoutes)
	for i := range routes {
		routes[i] = fmt.Sprint("route-", i)
	}
	now := start
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		now = now.Add(time.Millisecond)
		g.Permit(now, permits(7))
		pick := g.Pick(now, "bench", routes[i%len(routes)], false)
		g.Sent(now, "bench", routes[i%len(routes)], pick.Candidate)
	}
}
