// Package signals receives the signals of a process from its start until its exit. No signal that a
// process can receive then ends it before it has finished its work, however often and whenever it
// arrives.
//
// SIGTERM, SIGINT and SIGQUIT request a stop, and SIGHUP a reload. SIGPIPE is ignored: the runtime
// would end the process when the reader of its output is gone. SIGABRT still prints all goroutines
// and ends the process.
//
// # Usage
//
//	received := signals.New() // first statement of main
//	go func() {
//		for range received.HangUps() {
//			reload()
//		}
//	}()
//	serve(received.Context()) // ends at the first request to stop
//
// The signals are never released, since their default action would end a process that is still
// writing its last answers, logs or records. Programs without settings to reload use StopOnHangUp.
//
// # Start
//
// SIGHUP is ignored from the time at which the program is loaded until New is called, if the program
// is built with cgo: settings are read after that. Requests to stop end a process that has not
// called New, which has accepted nothing yet.
package signals

import (
	"context"
	"os"
	"os/signal"
	"syscall"
)

// Signals are the signals of this process.
type Signals struct {
	hangUps chan os.Signal
	stopped context.Context
	stop    context.CancelFunc
}

// New begins to receive signals.
func New() *Signals {
	s := &Signals{hangUps: make(chan os.Signal, 1)}
	s.stopped, s.stop = context.WithCancel(context.Background())
	signal.Notify(s.hangUps, syscall.SIGHUP)
	signal.Notify(make(chan os.Signal, 1), syscall.SIGPIPE) // not signal.Ignore, which child processes inherit
	s.stopOn(syscall.SIGTERM, syscall.SIGINT, syscall.SIGQUIT)
	return s
}

func (s *Signals) stopOn(requests ...os.Signal) {
	received := make(chan os.Signal, 1)
	signal.Notify(received, requests...)
	go func() {
		<-received
		s.stop()
	}()
}

// StopOnHangUp makes SIGHUP a request to stop instead of a reload.
func (s *Signals) StopOnHangUp() *Signals {
	s.stopOn(syscall.SIGHUP)
	signal.Stop(s.hangUps)
	return s
}

// Context returns a context that ends at the first request to stop. It ends at no other time.
func (s *Signals) Context() context.Context { return s.stopped }

// HangUps returns the channel of SIGHUP. Signals that arrive during a reload request one more.
func (s *Signals) HangUps() <-chan os.Signal { return s.hangUps }
