// Package link is a relay of TCP connections that misbehaves on demand: it stands
// between two processes and cuts, freezes or delays what passes, drops one direction, or
// goes silent for the connections it has while new ones work.
//
// # Usage
//
//	l := link.New()
//	err := l.Add(ctx, link.Relay{Name: "store-a", Listen: "127.0.0.1:9001", Target: "127.0.0.1:2379"})
//	l.Set(link.Faults{Relay: "store-a", Mode: link.Freeze})
//	err = httpjson.Serve(ctx, "127.0.0.1:9000", l) // POST /standin/faults
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

// Mode is what a relay does to the bytes that pass.
type Mode string

// Modes of a relay.
const (
	// Pass passes everything.
	Pass Mode = ""
	// Cut ends all connections and accepts none.
	Cut Mode = "cut"
	// Freeze holds all bytes back until the mode changes.
	Freeze Mode = "freeze"
	// Delay passes every piece DelayMS later.
	Delay Mode = "delay"
	// Silent never passes another byte on the connections there are; new ones work.
	Silent Mode = "silent"
	// NoAnswers drops all bytes from the target.
	NoAnswers Mode = "no_answers"
	// NoRequests drops all bytes to the target.
	NoRequests Mode = "no_requests"
)

// modes are all modes.
var modes = map[Mode]bool{
	Pass: true, Cut: true, Freeze: true, Delay: true, Silent: true, NoAnswers: true, NoRequests: true,
}

// Relay passes connections from a listening address to a target.
type Relay struct {
	Name   string
	Listen string
	Target string
}

// Faults sets the mode of relays. It is the body of POST /standin/faults.
type Faults struct {
	// Relay is a name or a pattern such as "store-*".
	Relay string `json:"relay"`
	// From limits the faults to callers whose IP matches a pattern such as "127.0.1.*";
	// empty for all. Others pass.
	From    string `json:"from,omitempty"`
	Mode    Mode   `json:"mode"`
	DelayMS int64  `json:"delay_ms"`
}

// Link holds relays.
type Link struct {
	mux *http.ServeMux

	mu     sync.Mutex
	relays map[string]*relay
}

// relay is one relay with its connections.
type relay struct {
	Relay
	from    string
	mode    Mode
	delay   time.Duration
	conns   map[*pair]bool
	changed chan struct{}
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

// Set changes the mode of all relays whose names match.
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

// set changes the mode. Silence is a property of the connections there are.
func (r *relay) set(in Faults) {
	r.mode, r.from = in.Mode, in.From
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
	close(r.changed)
	r.changed = make(chan struct{})
}

// modeFor returns the mode for a caller.
func (r *relay) modeFor(caller net.Conn) Mode {
	if r.from == "" {
		return r.mode
	}
	host, _, err := net.SplitHostPort(caller.RemoteAddr().String())
	if err != nil {
		return Pass
	}
	if ok, err := path.Match(r.from, host); err != nil || !ok {
		return Pass
	}
	return r.mode
}

// Add opens a relay that lives until ctx ends.
func (l *Link) Add(ctx context.Context, in Relay) error {
	listener, err := net.Listen("tcp", in.Listen)
	if err != nil {
		return errors.Wrapf(err, "listening for relay %s", in.Name)
	}
	r := &relay{Relay: in, conns: map[*pair]bool{}, changed: make(chan struct{})}
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
		go l.pass(ctx, r, conn)
	}
}
