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

// noGuard is a PromptGuard that refuses nothing.
type noGuard struct{}

// CheckPrompt implements PromptGuard.
func (noGuard) CheckPrompt([]uint64) time.Duration { return 0 }

// PromptLost implements PromptGuard.
func (noGuard) PromptLost(quarantine.Loss) {}

// PromptServed implements PromptGuard.
func (noGuard) PromptServed(quarantine.Answer) {}

// digest identifies the request by its method, target, client account and body. A caller that sends
// the request again, with another id, gets the same one.
func (r *requestState) digest() uint64 {
	digest := xxhash.New()
	for _, field := range []string{r.call.Method, r.call.Host, r.call.Target, r.accountName()} {
		// Writes to a digest never fail. The length separates the fields.
		_, _ = digest.Write(binary.LittleEndian.AppendUint64(nil, uint64(len(field))))
		_, _ = digest.WriteString(field)
	}
	_, _ = digest.Write(r.call.Body)
	return digest.Sum64()
}

// sharedParts returns the ids of the parts of the request's prompt that other requests may share.
func (r *requestState) sharedParts() []uint64 {
	if r.call.Prompt == nil {
		return nil
	}
	return r.call.Prompt.sharedParts()
}

// checkPrompt returns a *problem.Error of kind PromptQuarantined for a request that is refused
// because of its prompt.
func (r *requestState) checkPrompt() error {
	parts := r.sharedParts()
	if len(parts) == 0 {
		return nil
	}
	if left := r.relay.PromptGuard.CheckPrompt(parts); left > 0 {
		return problem.New(problem.PromptQuarantined, "requests with a part of this prompt crash backend servers").WithRetryAfter(left)
	}
	return nil
}

// recordLoss records that the server closed the connection of an attempt before the answer was
// complete.
func (r *requestState) recordLoss(a *attempt) {
	r.lostAt = append(r.lostAt, a.choice.Backend.ID)
	parts := r.sharedParts()
	if !a.begunAt.IsZero() && time.Since(a.begunAt) > beginPeriod {
		parts = nil
	}
	r.relay.PromptGuard.PromptLost(quarantine.Loss{
		Request: r.call.ID, Server: a.choice.Backend.ID, Incarnation: a.choice.Backend.Incarnation, Parts: parts,
	})
}

// recordServed records a complete answer.
func (r *requestState) recordServed(a *attempt, result route.Result) {
	if result != route.OK || a.begunAt.IsZero() || a.response.Status != http.StatusOK {
		return
	}
	r.relay.PromptGuard.PromptServed(quarantine.Answer{
		Server: a.choice.Backend.ID, Incarnation: a.choice.Backend.Incarnation, Parts: r.sharedParts(), BegunAt: a.begunAt,
	})
}
