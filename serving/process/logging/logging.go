// Package logging writes log lines without blocking the goroutine that logs: lines pass through a
// bounded queue to a single writer, and lines that do not fit are dropped and counted.
//
// # Usage
//
//	out := logging.New(os.Stdout, logging.DefaultLines)
//	log, err := logging.NewLogger(out, "info")
//	defer out.Close(time.Second)
package logging

import (
	"fmt"
	"io"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"
)

// DefaultLines is the default length of the queue in lines: some seconds of a busy entry instance,
// about 2 MB.
const DefaultLines = 4096

// Writer is an io.Writer that never blocks.
type Writer struct {
	out     io.Writer
	lines   chan []byte
	done    chan struct{}
	dropped atomic.Int64
	closing sync.Once
	closed  chan struct{}
}

// New returns a writer with a queue of the given number of lines.
func New(out io.Writer, lines int) *Writer {
	w := &Writer{out: out, lines: make(chan []byte, lines), done: make(chan struct{}), closed: make(chan struct{})}
	go w.run()
	return w
}

// Write queues one line, or drops and counts it. The error is always nil.
func (w *Writer) Write(line []byte) (int, error) {
	select {
	case w.lines <- append([]byte(nil), line...):
	default:
		w.dropped.Add(1)
	}
	return len(line), nil
}

// NewLogger returns a logger that writes JSON lines with milliseconds. The level is one of logrus.
func NewLogger(out io.Writer, level string) (*logrus.Logger, error) {
	log := logrus.New()
	log.SetOutput(out)
	log.SetFormatter(&logrus.JSONFormatter{TimestampFormat: "2006-01-02T15:04:05.000Z07:00"})
	parsed, err := logrus.ParseLevel(level)
	if err != nil {
		return nil, errors.Wrap(err, "log level")
	}
	log.SetLevel(parsed)
	return log, nil
}

// Dropped returns the number of lines that were dropped so far.
func (w *Writer) Dropped() int64 { return w.dropped.Load() }

// Close writes the queued lines and returns after at most wait.
func (w *Writer) Close(wait time.Duration) {
	w.closing.Do(func() { close(w.closed) })
	select {
	case <-w.done:
	case <-time.After(wait):
	}
}

func (w *Writer) run() {
	defer close(w.done)
	reported := int64(0)
	for {
		select {
		case line := <-w.lines:
			w.write(line)
		case <-w.closed:
			w.drain()
			return
		}
		if dropped := w.dropped.Load(); dropped > reported && len(w.lines) == 0 {
			w.write(fmt.Appendf(nil, "{\"level\":\"warning\",\"msg\":\"logging: lines dropped\",\"dropped_total\":%d}\n", dropped))
			reported = dropped
		}
	}
}

func (w *Writer) drain() {
	for {
		select {
		case line := <-w.lines:
			w.write(line)
		default:
			return
		}
	}
}

func (w *Writer) write(line []byte) {
	if _, err := w.out.Write(line); err != nil {
		// The error can't be logged, so the line is only counted as dropped.
		w.dropped.Add(1)
	}
}
