// Package link relays TCP connections between two processes and injects network faults: it cuts
// connections, freezes or delays data, drops one direction, or stops forwarding on the open
// connections while new ones work.
//
// # Usage
//
//	l := link.New()
//	err := l.Add(ctx, link.Relay{Name: "store-a", Listen: "127.0.0.1:9001", Target: "127.0.0.1:2379"})
//	l.Set(link.Faults{Relay: "store-a", Mode: link.Freeze})
//	err = httpjson.Serve(ctx, "127.0.0.1:9000", l) // POST /standin/faults
//
// # Locks
//
// The mutex of a Link guards its relays and their connections.
package link

import (
	"context"
	"net"
	"net/http"
	"path"
	"sync"
	"time"

	"github.com/pkg/errors"

	"papayaport.dev/standin/httpjson"
)

// Mode is the fault that a relay injects.
type Mode string

// Modes of a relay.
const (
	// Pass forwards all data without a fault.
	Pass Mode = ""
	// Cut closes all connections, and every new one at once.
	Cut Mode = "cut"
	// Freeze withholds all data until the mode changes.
	Freeze Mode = "freeze"
	// Delay forwards every piece of data after a delay of DelayMS.
	Delay Mode = "delay"
	// Silent permanently drops all data on the open connections; new ones work.
	Silent Mode = "silent"
	// NoAnswers drops all data from the target.
	NoAnswers Mode = "no_answers"
	// NoRequests drops all data to the target.
	NoRequests Mode = "no_requests"
)

// modes holds all valid modes.
var modes = map[Mode]bool{
	Pass: true, Cut: true, Freeze: true, Delay: true, Silent: true, NoAnswers: true, NoRequests: true,
}

// Relay forwards connections from a listening address to a target, both as IP:PORT.
type Relay struct {
	Name   string
	Listen string
	Target string
}

// Faults sets the mode of relays. It is the body of POST /standin/faults.
type Faults struct {
	// Relay is the name of a relay or a pattern such as "store-*".
	Relay string `json:"relay"`
	// From limits the fault to callers whose IP matches a pattern such as "127.0.1.*"; empty for
	// all callers.
	From    string `json:"from,omitempty"`
	Mode    Mode   `json:"mode"`
	DelayMS int64  `json:"delay_ms"`
}

// Link is a set of relays, and the HTTP handler that sets their faults.
type Link struct {
	mux *http.ServeMux

	mu     sync.Mutex
	relays map[string]*relay
}

// relay is one relay with its current mode and open connections.
type relay struct {
	Relay
	callerPattern string
	mode          Mode
	delay         time.Duration
	conns         map[*pair]bool
	modeChanged   chan struct{}
}

// New returns a link without relays.
func New() *Link {
	l := &Link{mux: http.NewServeMux(), relays: map[string]*relay{}}
	l.mux.HandleFunc("POST /standin/faults", l.setFaults)
	return l
}

// ServeHTTP implements http.Handler.
func (l *Link) ServeHTTP(w http.ResponseWriter, r *http.Request) { l.mux.ServeHTTP(w, r) }

func (l *Link) setFaults(w http.ResponseWriter, r *http.Request) {
	var in Faults
	if !httpjson.Read(w, r, &in) {
		return
	}
	if err := l.Set(in); err != nil {
		httpjson.Fail(w, http.StatusBadRequest, err.Error())
		return
	}
	w.WriteHeader(http.StatusNoContent)
}

// Set sets the mode of all relays whose names match.
func (l *Link) Set(in Faults) error {
	if !modes[in.Mode] {
		return errors.Errorf("mode %q is unknown", in.Mode)
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	matched := false
	for name, r := range l.relays {
		if ok, err := path.Match(in.Relay, name); err != nil || !ok {
			continue
		}
		matched = true
		r.set(in)
	}
	if !matched {
		return errors.Errorf("no relay matches %q", in.Relay)
	}
	return nil
}

// set sets the mode. Silent marks only the connections that are open now, and leaves the relay in
// mode Pass.
func (r *relay) set(in Faults) {
	r.mode, r.callerPattern = in.Mode, in.From
	r.delay = time.Duration(in.DelayMS) * time.Millisecond
	for p := range r.conns {
		switch r.modeFor(p.caller) {
		case Silent:
			p.silent = true
		case Cut:
			p.close()
		}
	}
	if in.Mode == Silent {
		r.mode = Pass
	}
	close(r.modeChanged)
	r.modeChanged = make(chan struct{})
}

// modeFor returns the mode that applies to a caller's connection.
func (r *relay) modeFor(caller net.Conn) Mode {
	if r.callerPattern == "" {
		return r.mode
	}
	host, _, err := net.SplitHostPort(caller.RemoteAddr().String())
	if err != nil {
		return Pass
	}
	if ok, err := path.Match(r.callerPattern, host); err != nil || !ok {
		return Pass
	}
	return r.mode
}

// Add opens a relay that accepts connections until ctx ends.
func (l *Link) Add(ctx context.Context, in Relay) error {
	listener, err := net.Listen("tcp", in.Listen)
	if err != nil {
		return errors.Wrapf(err, "listening for relay %s", in.Name)
	}
	r := &relay{Relay: in, conns: map[*pair]bool{}, modeChanged: make(chan struct{})}
	l.mu.Lock()
	l.relays[in.Name] = r
	l.mu.Unlock()
	context.AfterFunc(ctx, func() { _ = listener.Close() })
	go l.accept(ctx, listener, r)
	return nil
}

func (l *Link) accept(ctx context.Context, listener net.Listener, r *relay) {
	for {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		go l.forward(ctx, r, conn)
	}
}
