// Package progress bounds the silence of a connection rather than the time of a transfer, which depends
// on the link.
//
// # Usage
//
//	timer := time.AfterFunc(silence, cancel)
//	data, err := io.ReadAll(progress.New(response.Body, timer, silence))
package progress

import (
	"io"
	"time"
)

// Reader restarts a timer with every byte that it reads.
type Reader struct {
	reader  io.Reader
	timer   *time.Timer
	silence time.Duration
}

// New returns a reader of r that restarts timer for the time of silence.
func New(r io.Reader, timer *time.Timer, silence time.Duration) *Reader {
	return &Reader{r, timer, silence}
}

// Read implements io.Reader.
func (p *Reader) Read(data []byte) (int, error) {
	count, err := p.reader.Read(data)
	if count > 0 {
		p.timer.Reset(p.silence)
	}
	return count, err
}
