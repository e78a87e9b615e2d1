package answer

import (
	"context"
	"sync"

	"papayaport.dev/serving/connection/engine"
)

// End describes how an answer ended.
type End struct {
	// Reason is the engine's finish reason, such as "stop"; empty after a failure.
	Reason string
	Usage  engine.Usage
	// Err is the reason for an incomplete answer; nil for a complete one.
	Err error
}

// Log holds the accepted tokens of one answer. One writer appends; any number of readers read from
// a token offset and wait for more.
type Log struct {
	mu   sync.Mutex
	text []byte
	// ends[i] is the length of the text up to and including token i, in bytes.
	ends    []int
	end     *End
	changed chan struct{}
}

// NewLog returns an empty log.
func NewLog() *Log { return &Log{changed: make(chan struct{})} }

// Append adds one token. It does nothing after Finish.
func (l *Log) Append(token string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.end != nil {
		return
	}
	l.text = append(l.text, token...)
	l.ends = append(l.ends, len(l.text))
	l.notify()
}

// Finish ends the answer. Only the first call counts.
func (l *Log) Finish(end End) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.end != nil {
		return
	}
	l.end = &end
	l.notify()
}

func (l *Log) notify() {
	close(l.changed)
	l.changed = make(chan struct{})
}

// Tokens returns the number of tokens.
func (l *Log) Tokens() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.ends)
}

// Text returns a copy of the text so far and its number of tokens.
func (l *Log) Text() (string, int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return string(l.text), len(l.ends)
}

// Ends returns a copy of the end offsets of the tokens in the text, in bytes.
func (l *Log) Ends() []int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return append([]int(nil), l.ends...)
}

// Ended returns the end of the answer, nil while it is incomplete.
func (l *Log) Ended() *End {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.end
}

// Restore sets the contents of an empty log to the tokens of an answer that was started elsewhere.
// It reports whether ends is consistent with text.
func (l *Log) Restore(text string, ends []int) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	last := 0
	for _, end := range ends {
		if end < last || end > len(text) {
			return false
		}
		last = end
	}
	if last != len(text) {
		return false
	}
	l.text = []byte(text)
	l.ends = append([]int(nil), ends...)
	l.notify()
	return true
}

// Batch is a sequence of consecutive tokens.
type Batch struct {
	// From is the index of the first token.
	From   int
	Tokens []string
	// End is set when no token follows.
	End *End
}

// Read waits until there are tokens after offset, or the answer has ended, and returns at most
// limit tokens, appended to into[:0].
func (l *Log) Read(ctx context.Context, offset, limit int, into []string) (Batch, error) {
	for {
		batch, moved := l.read(offset, limit, into)
		if len(batch.Tokens) > 0 || batch.End != nil {
			return batch, nil
		}
		select {
		case <-moved:
		case <-ctx.Done():
			return Batch{}, context.Cause(ctx)
		}
	}
}

func (l *Log) read(offset, limit int, into []string) (Batch, chan struct{}) {
	l.mu.Lock()
	defer l.mu.Unlock()
	batch := Batch{From: offset, Tokens: into[:0]}
	for i := max(offset, 0); i < len(l.ends) && len(batch.Tokens) < limit; i++ {
		batch.Tokens = append(batch.Tokens, string(l.text[l.start(i):l.ends[i]]))
	}
	if offset+len(batch.Tokens) >= len(l.ends) {
		batch.End = l.end
	}
	return batch, l.changed
}

func (l *Log) start(token int) int {
	if token == 0 {
		return 0
	}
	return l.ends[token-1]
}
