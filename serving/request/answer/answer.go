// Package answer puts the answer of one request together from the chunks of one or
// several attempts, and lets readers follow it while it grows.
//
// An Assembly judges chunks: it takes the next token of the current attempt once,
// and drops what is late, doubled or foreign. A Log keeps the accepted tokens for
// readers, who may come and go. Both rest on the token's index, so that an answer
// moved between backend servers or entry instances continues exactly where it was.
//
// Lock order: a Log's lock is taken alone.
//
// # Usage
//
//	assembly := answer.New(maxTokens)
//	assembly.Begin(attempt)
//	switch assembly.Judge(chunk) {
//	case answer.Token:
//		log.Append(chunk.Choices[0].Delta.Content)
//	case answer.Final:
//		log.Finish(...)
//	}
package answer

import "papayaport.dev/serving/connection/engine"

// Verdict is what an Assembly makes of a chunk.
type Verdict int

// Verdicts.
const (
	// Token is the next token of the answer.
	Token Verdict = iota
	// Final is the final marker of a whole answer.
	Final
	// Repeated is a token that the answer has already.
	Repeated
	// Foreign is a chunk of another attempt.
	Foreign
	// Gap is a token, or a final marker, with tokens missing before it.
	Gap
	// Excess is a token behind the longest answer that was asked for.
	Excess
	// Empty is a chunk that carries nothing, such as the role at the start.
	Empty
)

// String returns the verdict's name as it stands in logs and metrics.
func (v Verdict) String() string {
	return [...]string{"token", "final", "repeated", "foreign", "gap", "excess", "empty"}[v]
}

// Assembly follows one answer over its attempts.
type Assembly struct {
	attempt   string
	next      int
	maxTokens int
	finished  bool
}

// New returns an assembly of an answer of at most maxTokens tokens, 0 for any number.
func New(maxTokens int) *Assembly { return &Assembly{maxTokens: maxTokens} }

// Resume sets the number of tokens that the answer has already.
func (a *Assembly) Resume(tokens int) { a.next = tokens }

// Begin makes attempt the one whose chunks count. Chunks of earlier ones are foreign.
func (a *Assembly) Begin(attempt string) { a.attempt = attempt }

// Tokens returns the number of tokens accepted.
func (a *Assembly) Tokens() int { return a.next }

// Judge takes the next chunk of any attempt and tells what it is.
func (a *Assembly) Judge(chunk engine.Chunk) Verdict {
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
