package answer

import (
	"context"
	"sync"

	"papayaport.dev/serving/connection/engine"
)

// End is how an answer ended.
type End struct {
	// Reason is the engine's finish reason, such as "stop"; empty after a failure.
	Reason string
	Usage  engine.Usage
	// Err is why there is no whole answer; nil after a whole one.
	Err error
}

// Log holds the accepted tokens of one answer. One writer appends; any number of
// readers follow by token offset.
type Log struct {
	mu   sync.Mutex
	text []byte
	// ends[i] is the length of the text up to and with token i, in bytes.
	ends  []int
	end   *End
	moved chan struct{}
}

// Open returns an empty log.
func Open() *Log { return &Log{moved: make(chan struct{})} }

// Append adds one token.
func (l *Log) Append(token string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.end != nil {
		return
	}
	l.text = append(l.text, token...)
	l.ends = append(l.ends, len(l.text))
	l.wake()
}

// Finish ends the answer. Only the first call counts.
func (l *Log) Finish(end End) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.end != nil {
		return
	}
	l.end = &end
	l.wake()
}

func (l *Log) wake() {
	close(l.moved)
	l.moved = make(chan struct{})
}

// Tokens returns the number of tokens.
func (l *Log) Tokens() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.ends)
}

// Text returns a copy of the whole text so far and its number of tokens.
func (l *Log) Text() (string, int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return string(l.text), len(l.ends)
}

// Ends returns a copy of the tokens' ends in the text, in bytes.
func (l *Log) Ends() []int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return append([]int(nil), l.ends...)
}

// Ended returns the end of the answer, nil while it grows.
func (l *Log) Ended() *End {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.end
}

// Restore fills an empty log with the tokens of an answer that began elsewhere. It
// reports whether ends describes text.
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
	l.wake()
	return true
}

// Batch is a run of tokens from one offset on.
type Batch struct {
	// From is the index of the first token.
	From   int
	Tokens []string
	// End is set when nothing follows.
	End *End
}

// Read waits until there are tokens behind offset, or the end, and appends them to
// into. At most limit tokens come at once.
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
	return batch, l.moved
}

func (l *Log) start(token int) int {
	if token == 0 {
		return 0
	}
	return l.ends[token-1]
}
