// Package answer assembles the answer of one request from the chunks of one or several attempts,
// and lets readers follow it while it is generated.
//
// An Assembly classifies chunks: it accepts the next token of the current attempt once, and rejects
// late, duplicate and foreign chunks. A Log keeps the accepted tokens for readers. Both identify
// tokens by their index, so that an answer that is moved between backend servers or entry instances
// continues without a gap or a duplicate.
//
// Lock order: a Log's lock is never held together with another one.
//
// # Usage
//
//	assembly := answer.New(maxTokens)
//	assembly.Begin(attempt)
//	switch assembly.Classify(chunk) {
//	case answer.Token:
//		log.Append(chunk.Choices[0].Delta.Content)
//	case answer.Final:
//		log.Finish(...)
//	}
package answer

import "papayaport.dev/serving/connection/engine"

// Verdict is the classification of a chunk.
type Verdict int

// Verdicts.
const (
	// Token is the next token of the answer.
	Token Verdict = iota
	// Final is the final marker of a complete answer.
	Final
	// Repeated is a token that was already accepted.
	Repeated
	// Foreign is a chunk of another attempt, or one after the final marker.
	Foreign
	// Gap is a token or final marker with tokens missing before it.
	Gap
	// Excess is a token beyond the maximum length of the answer.
	Excess
	// Empty is a chunk without content, such as the role at the start.
	Empty
)

// String returns the verdict's name as used in logs and metrics.
func (v Verdict) String() string {
	return [...]string{"token", "final", "repeated", "foreign", "gap", "excess", "empty"}[v]
}

// Assembly tracks one answer across its attempts.
type Assembly struct {
	attempt   string
	next      int
	maxTokens int
	finished  bool
}

// New returns an assembly of an answer of at most maxTokens tokens, 0 for no limit.
func New(maxTokens int) *Assembly { return &Assembly{maxTokens: maxTokens} }

// Resume sets the number of tokens that were already accepted elsewhere.
func (a *Assembly) Resume(tokens int) { a.next = tokens }

// Begin sets the current attempt. Chunks of earlier attempts are foreign from then on.
func (a *Assembly) Begin(attempt string) { a.attempt = attempt }

// Tokens returns the number of tokens accepted.
func (a *Assembly) Tokens() int { return a.next }

// Classify classifies the next chunk of any attempt, and advances the answer if it is accepted.
func (a *Assembly) Classify(chunk engine.Chunk) Verdict {
	if a.finished || chunk.ID != a.attempt {
		return Foreign
	}
	if chunk.Choices[0].FinishReason != "" {
		return a.judgeFinal(chunk)
	}
	if chunk.Choices[0].Delta.Content == "" {
		return Empty
	}
	return a.judgeToken(chunk.Index)
}

func (a *Assembly) judgeFinal(chunk engine.Chunk) Verdict {
	if chunk.Index != a.next {
		return Gap
	}
	a.finished = true
	return Final
}

func (a *Assembly) judgeToken(index int) Verdict {
	switch {
	case index < a.next:
		return Repeated
	case index > a.next:
		return Gap
	case a.maxTokens > 0 && a.next >= a.maxTokens:
		return Excess
	}
	a.next++
	return Token
}
