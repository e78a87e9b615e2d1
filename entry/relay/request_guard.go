package relay

import (
	"encoding/binary"
	"net/http"
	"time"

	"github.com/cespare/xxhash/v2"

	"papayaport.dev/serving/process/problem"
	"papayaport.dev/serving/request/quarantine"
	"papayaport.dev/serving/request/route"
)

// beginPeriod is how long after the first event of a stream the loss of its server still counts
// as one at the beginning of the answer. It covers the events that are on their way.
const beginPeriod = time.Second

// noGuard is a RequestGuard that refuses nothing.
type noGuard struct{}

// CheckRequest implements RequestGuard.
func (noGuard) CheckRequest(quarantine.Content) (quarantine.Cause, time.Duration) {
	return quarantine.None, 0
}

// RequestLost implements RequestGuard.
func (noGuard) RequestLost(quarantine.Loss) {}

// RequestServed implements RequestGuard.
func (noGuard) RequestServed(quarantine.Answer) {}

// RequestEnded implements RequestGuard.
func (noGuard) RequestEnded(string, bool) {}

// digest identifies the request by its method, target, client account and body. A caller that sends
// the request again, with another id, gets the same one.
func (r *requestState) digest() uint64 {
	if r.requestDigest != 0 {
		return r.requestDigest
	}
	digest := xxhash.New()
	for _, field := range []string{r.call.Method, r.call.Host, r.call.Target, r.accountName()} {
		// Writes to a digest never fail. The length separates the fields.
		_, _ = digest.Write(binary.LittleEndian.AppendUint64(nil, uint64(len(field))))
		_, _ = digest.WriteString(field)
	}
	_, _ = digest.Write(r.call.Body)
	r.requestDigest = digest.Sum64()
	return r.requestDigest
}

func (r *requestState) content() quarantine.Content {
	return quarantine.Content{Digest: r.digest(), Parts: r.sharedParts()}
}

// sharedParts returns the ids of the parts of the request's prompt that other requests may share.
func (r *requestState) sharedParts() []uint64 {
	if r.call.Prompt == nil {
		return nil
	}
	return r.call.Prompt.sharedParts()
}

// checkQuarantine returns a *problem.Error of kind RequestQuarantined or PromptQuarantined for a request
// that is refused because it, or a part of its prompt, crashes backend servers.
func (r *requestState) checkQuarantine() error {
	switch cause, left := r.relay.RequestGuard.CheckRequest(r.content()); cause {
	case quarantine.Request:
		return problem.New(problem.RequestQuarantined, "this request crashes backend servers").WithRetryAfter(left)
	case quarantine.Part:
		return problem.New(problem.PromptQuarantined, "requests with a part of this prompt crash backend servers").WithRetryAfter(left)
	}
	return nil
}

// recordLoss records that the server closed the connection of an attempt before the answer was
// complete.
func (r *requestState) recordLoss(a *attempt) {
	r.lostAt = append(r.lostAt, a.choice.Backend.ID)
	content := r.content()
	if !a.begunAt.IsZero() && time.Since(a.begunAt) > beginPeriod {
		content = quarantine.Content{}
	}
	r.relay.RequestGuard.RequestLost(quarantine.Loss{
		Request: r.call.ID, Server: a.choice.Backend.ID, Incarnation: a.choice.Backend.Incarnation, Content: content,
	})
}

// finishQuarantine records the end of a request that was lost at least once.
func (r *requestState) finishQuarantine() {
	if len(r.lostAt) > 0 {
		r.relay.RequestGuard.RequestEnded(r.call.ID, r.kind == "")
	}
}

// recordServed records a complete answer.
func (r *requestState) recordServed(a *attempt, result route.Result) {
	if result != route.OK || a.begunAt.IsZero() || a.response.Status/100 != http.StatusOK/100 {
		return
	}
	r.relay.RequestGuard.RequestServed(quarantine.Answer{
		Server: a.choice.Backend.ID, Incarnation: a.choice.Backend.Incarnation, Content: r.content(), BegunAt: a.begunAt,
	})
}
