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

// LoadShedder decides on requests to model services while the demand exceeds the capacity.
type LoadShedder interface {
	Admit(now time.Time, ask scarcity.Request) scarcity.Verdict
	// Done reports that the response to an admitted request started, or that the request ended
	// without one.
	Done(now time.Time, ask scarcity.Request, answered bool)
	Overloaded(now time.Time, service string) bool
}

// sheddingDecision is the decision on a request before its first attempt.
type sheddingDecision struct {
	at      time.Time
	ask     scarcity.Request
	verdict scarcity.Verdict
	// ended is set when Done was called.
	ended bool
}

// checkLoad decides once, before the first attempt, whether the request is served under the
// current load. The error is a *problem.Error of kind DeadlineInfeasible or QueueFull; nothing
// was sent and no slot was taken. A request whose latency can't be estimated is not shed.
func (r *requestState) checkLoad(now time.Time) error {
	relay := r.relay
	if relay.LoadShedder == nil || relay.LoadKnown == nil || !relay.LoadKnown(now) {
		return nil
	}
	if s, found := r.version.Service(r.service); !found || s.Engine == nil {
		return nil
	}
	request := r.routeRequest()
	// Uses the old versions, as for a retry: the preview must not consume the candidate's
	// exposure.
	request.Versions = versionsOf(relay.VersionPicker.Pick(r.service, r.route.Name, true))
	preview, known := relay.Routes.Preview(now, request)
	if !known {
		return nil
	}
	ask := scarcity.Request{
		Service: r.service, Account: r.accountName(), ID: r.call.fingerprint(r.accountName()), Rank: r.priority(),
		TimeLeft: r.deadline.Sub(now), Target: r.route.Target, FirstEvent: preview.FirstToken,
		Margin: preview.Margin, QueueWait: preview.Wait,
	}
	if p := r.call.Prompt; p != nil {
		ask.Tokens = p.PromptTokens
	}
	if r.route.Kind != deployment.Streaming {
		ask.FullResponse = preview.LastToken
	}
	verdict := relay.LoadShedder.Admit(now, ask)
	r.shedding = &sheddingDecision{at: now, ask: ask, verdict: verdict}
	relay.Metrics.sheddingDecided(relay.LoadShedder, r.shedding, r.route.Kind == deployment.Streaming)
	if verdict.Admitted {
		return nil
	}
	kind := problem.QueueFull
	if verdict.Reason == scarcity.Deadline {
		kind = problem.DeadlineInfeasible
	}
	return problem.New(kind, "service %s has no capacity for the request in its time (%s): estimate %d ms, target %d ms, left %d ms",
		r.service, verdict.Reason, max(ask.FirstEvent, ask.FullResponse).Milliseconds(), ask.Target.Milliseconds(), ask.TimeLeft.Milliseconds()).
		WithRetryAfter(verdict.RetryAfter)
}

// finishShedding reports once whether the response to an admitted request started. It is called
// at the start of the response and at the end of the request.
func (r *requestState) finishShedding() {
	c := r.shedding
	if c == nil || !c.verdict.Admitted || c.ended {
		return
	}
	c.ended = true
	r.relay.LoadShedder.Done(time.Now(), c.ask, r.firstByte > 0)
	if r.firstByte > 0 && r.route.Kind == deployment.Streaming {
		r.relay.Metrics.observedFirst(r.service, r.firstByte-c.at.Sub(r.received))
	}
}

// addFields adds the reasons of a rejection to the request's log line.
func (c *sheddingDecision) addFields(fields logrus.Fields) {
	if c == nil || c.verdict.Admitted {
		return
	}
	fields["reason"], fields["rank"], fields["early_repeat"] = c.verdict.Reason, c.ask.Rank, c.verdict.EarlyRetry
	fields["estimate_ms"] = max(c.ask.FirstEvent, c.ask.FullResponse).Milliseconds()
	fields["left_ms"], fields["retry_after_ms"] = c.ask.TimeLeft.Milliseconds(), c.verdict.RetryAfter.Milliseconds()
}

// fingerprint identifies a request across retries by the caller, which have new request ids. It
// is 0 for a request without content, since an account may send many of these.
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
		// Writes to a digest never fail. The length prefixes delimit the fields.
		_, _ = digest.Write(binary.LittleEndian.AppendUint64(nil, uint64(len(field))))
		_, _ = digest.Write(field)
	}
	for _, field := range []string{account, c.Method, c.Host, c.Target, c.LastEventID} {
		write([]byte(field))
	}
	for i := range parts {
		write(binary.LittleEndian.AppendUint64(nil, c.Prompt.Parts[i].ID))
	}
	write(c.Body)
	return digest.Sum64()
}

// sheddingDecided counts a decision and records the estimate of an admitted stream.
func (m *Metrics) sheddingDecided(table LoadShedder, c *sheddingDecision, stream bool) {
	service := c.ask.Service
	m.set.GetOrCreateCounter(fmt.Sprintf("papayaport_scarcity_decisions_total{service=%q,rank=%q,reason=%q}",
		service, strconv.Itoa(c.ask.Rank), c.verdict.Reason)).Inc()
	m.set.GetOrCreateGauge(fmt.Sprintf("papayaport_scarcity_crowded{service=%q}", service), func() float64 {
		if table.Overloaded(time.Now(), service) {
			return 1
		}
		return 0
	})
	if c.verdict.Admitted && stream {
		m.set.GetOrCreateHistogram(fmt.Sprintf("papayaport_scarcity_estimated_first_seconds{service=%q}", service)).Update(c.ask.FirstEvent.Seconds())
	}
}

// observedFirst records the time from the decision to the first event of an admitted stream.
func (m *Metrics) observedFirst(service string, took time.Duration) {
	m.set.GetOrCreateHistogram(fmt.Sprintf("papayaport_scarcity_observed_first_seconds{service=%q}", service)).Update(took.Seconds())
}
