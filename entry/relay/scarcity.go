package relay

import (
	"encoding/binary"
	"fmt"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/sirupsen/logrus"

	"papayaport.dev/serving/process/problem"
	"papayaport.dev/serving/request/scarcity"
	"papayaport.dev/serving/version/deployment"
)

// Scarcity decides on requests to model services while there is less capacity than their
// callers ask for.
type Scarcity interface {
	Admit(now time.Time, ask scarcity.Ask) scarcity.Verdict
	// Done tells that the answer to an admitted request began, or that it ended without one.
	Done(now time.Time, ask scarcity.Ask, answered bool)
	Crowded(now time.Time, service string) bool
}

// competition is what was decided on a request before its first send.
type competition struct {
	at      time.Time
	ask     scarcity.Ask
	verdict scarcity.Verdict
	// ended tells that Done was called.
	ended bool
}

// compete asks once, before the first send, whether the request is served in the present load.
// The error is a *problem.Error of kind DeadlineInfeasible or QueueFull; nothing was sent and
// no place was taken. A request that can't be estimated is not decided on.
func (r *run) compete(now time.Time) error {
	relay := r.relay
	if relay.Scarcity == nil || relay.Known == nil || !relay.Known(now) {
		return nil
	}
	if s, found := r.version.Service(r.service); !found || s.Engine == nil {
		return nil
	}
	request := r.routeRequest()
	// The old versions, as for a repeat: asking must not use up what the candidate may get.
	request.Versions = versionsOf(relay.Picks.Pick(r.service, r.route.Name, true))
	preview, known := relay.Routes.Preview(now, request)
	if !known {
		return nil
	}
	ask := scarcity.Ask{
		Service: r.service, Account: r.accountName(), Request: r.call.fingerprint(r.accountName()), Rank: r.priority(),
		Left: r.deadline.Sub(now), Target: r.route.Target, First: preview.FirstToken,
		Margin: preview.Margin, Wait: preview.Wait,
	}
	if p := r.call.Prompt; p != nil {
		ask.Tokens = p.PromptTokens
	}
	if r.route.Kind != deployment.Streaming {
		ask.Whole = preview.Whole
	}
	verdict := relay.Scarcity.Admit(now, ask)
	r.competed = &competition{at: now, ask: ask, verdict: verdict}
	relay.Meters.competed(relay.Scarcity, r.competed, r.route.Kind == deployment.Streaming)
	if verdict.Admitted {
		return nil
	}
	kind := problem.QueueFull
	if verdict.Reason == scarcity.Deadline {
		kind = problem.DeadlineInfeasible
	}
	return problem.New(kind, "service %s has no capacity for the request in its time (%s): estimate %d ms, target %d ms, left %d ms",
		r.service, verdict.Reason, max(ask.First, ask.Whole).Milliseconds(), ask.Target.Milliseconds(), ask.Left.Milliseconds()).
		After(verdict.After)
}

// endCompetition tells once whether the answer to an admitted request began. It is called at
// the begin of the answer, and at the end of the request.
func (r *run) endCompetition() {
	c := r.competed
	if c == nil || !c.verdict.Admitted || c.ended {
		return
	}
	c.ended = true
	r.relay.Scarcity.Done(time.Now(), c.ask, r.firstByte > 0)
	if r.firstByte > 0 && r.route.Kind == deployment.Streaming {
		r.relay.Meters.observedFirst(r.service, r.firstByte-c.at.Sub(r.received))
	}
}

// addFields adds what a refusal rests on to the request's log line.
func (c *competition) addFields(fields logrus.Fields) {
	if c == nil || c.verdict.Admitted {
		return
	}
	fields["reason"], fields["rank"], fields["early_repeat"] = c.verdict.Reason, c.ask.Rank, c.verdict.Repeat
	fields["estimate_ms"], fields["target_ms"] = max(c.ask.First, c.ask.Whole).Milliseconds(), c.ask.Target.Milliseconds()
	fields["left_ms"], fields["retry_after_ms"] = c.ask.Left.Milliseconds(), c.verdict.After.Milliseconds()
}

// fingerprint identifies a request over repeats by its caller, which have ids of their own. It
// is 0 for a request without content, of which an account may have many.
func (c *Call) fingerprint(account string) uint64 {
	parts := 0
	if c.Prompt != nil {
		parts = len(c.Prompt.Parts)
	}
	if len(c.Body) == 0 && parts == 0 {
		return 0
	}
	digest := xxhash.New()
	write := func(field []byte) {
		// A digest in memory takes every write. The lengths keep fields apart.
		_, _ = digest.Write(binary.LittleEndian.AppendUint64(nil, uint64(len(field))))
		_, _ = digest.Write(field)
	}
	for _, field := range []string{account, c.Method, c.Host, c.Target, c.LastEvent} {
		write([]byte(field))
	}
	for i := range parts {
		write(binary.LittleEndian.AppendUint64(nil, c.Prompt.Parts[i].ID))
	}
	write(c.Body)
	return digest.Sum64()
}

// competed counts a decision, and the estimate of an admitted stream.
func (m *Meters) competed(table Scarcity, c *competition, stream bool) {
	service := c.ask.Service
	m.set.GetOrCreateCounter(fmt.Sprintf("papayaport_scarcity_decisions_total{service=%q,rank=%q,reason=%q}",
		service, strconv.Itoa(c.ask.Rank), c.verdict.Reason)).Inc()
	m.set.GetOrCreateGauge(fmt.Sprintf("papayaport_scarcity_crowded{service=%q}", service), func() float64 {
		if table.Crowded(time.Now(), service) {
			return 1
		}
		return 0
	})
	if c.verdict.Admitted && stream {
		m.set.GetOrCreateHistogram(fmt.Sprintf("papayaport_scarcity_estimated_first_seconds{service=%q}", service)).Update(c.ask.First.Seconds())
	}
}

// observedFirst counts the time from the decision to the first event of an admitted stream.
func (m *Meters) observedFirst(service string, took time.Duration) {
	m.set.GetOrCreateHistogram(fmt.Sprintf("papayaport_scarcity_observed_first_seconds{service=%q}", service)).Update(took.Seconds())
}
