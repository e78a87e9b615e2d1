package site

import (
	"cmp"
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"

	"papayaport.dev/entry/relay"
	"papayaport.dev/serving/connection/answer"
	"papayaport.dev/serving/connection/peer"
	"papayaport.dev/serving/connection/socketbuffer"
	"papayaport.dev/serving/connection/upstream"
	"papayaport.dev/serving/process/clock"
	"papayaport.dev/serving/process/directory"
	"papayaport.dev/serving/process/membership"
	"papayaport.dev/serving/process/reachability"
)

const (
	// reachabilityPeriod is the interval of checks whether backend servers have to be probed.
	reachabilityPeriod = 50 * time.Millisecond
	// probedServers is the number of servers that are probed at once, and probeTimeout bounds a probe.
	// Answers take some milliseconds; a lost packet is sent again after 200 ms.
	probedServers = 3
	probeTimeout  = 500 * time.Millisecond
	// maxForwardTries bounds the instances that are asked to serve one request.
	maxForwardTries = 6
	// unwillingTTL is how long an instance that did not serve a request is asked last.
	unwillingTTL = time.Second
	// maxPieceBytes bounds the pieces of an answer that pass from instance to instance.
	maxPieceBytes = 256 << 10
)

// runReachability probes backend servers while they may be out of reach.
func (s *Site) runReachability(ctx context.Context) error {
	return clock.Every(ctx, reachabilityPeriod, func(ctx context.Context, _ time.Time) {
		if !s.reachability.Step(time.Now()) {
			return
		}
		probed := s.probe(ctx)
		if !s.reachability.Probed(time.Now(), probed) {
			return
		}
		log := s.logger("reachability").WithFields(logrus.Fields{"probed": probed.Tried, "open": probed.Open, "answered": probed.Answered})
		if s.reachability.Isolated() {
			log.Warn("reachability: no backend server can be reached, requests are passed on to other instances")
		} else {
			log.Info("reachability: backend servers are reached again")
		}
	})
}

// probe opens connections to some servers and asks for their health.
func (s *Site) probe(ctx context.Context) reachability.Probe {
	var candidates []directory.Server
	for _, server := range s.backends() {
		if !server.Leaving {
			candidates = append(candidates, server)
		}
	}
	rand.Shuffle(len(candidates), func(i, j int) { candidates[i], candidates[j] = candidates[j], candidates[i] })
	candidates = candidates[:min(probedServers, len(candidates))]
	var open, answered atomic.Int64
	var group sync.WaitGroup
	for _, server := range candidates {
		group.Go(func() {
			switch s.probeServer(ctx, server) {
			case probeAnswered:
				answered.Add(1)
				open.Add(1)
			case probeSilent:
				open.Add(1)
			}
		})
	}
	group.Wait()
	return reachability.Probe{Tried: len(candidates), Open: int(open.Load()), Answered: int(answered.Load())}
}

// probeResult is the result of probing a server.
type probeResult int

const (
	probeFailed probeResult = iota
	probeSilent
	probeAnswered
)

// probeServer sends a health request. Any whole and valid answer will do, since a server without a free slot
// refuses the request. A server that sends something else is open, and a connection that is closed at once
// was accepted on the way and not by the server.
func (s *Site) probeServer(ctx context.Context, server directory.Server) probeResult {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	dialer := net.Dialer{KeepAlive: -1, Control: socketbuffer.Control}
	conn, err := dialer.DialContext(ctx, "tcp", server.Address)
	if err != nil {
		return probeFailed
	}
	defer conn.Close()
	deadline, _ := ctx.Deadline()
	if err := conn.SetDeadline(deadline); err != nil {
		return probeFailed
	}
	if _, err := fmt.Fprintf(conn, "GET %s HTTP/1.1\r\nHost: %s\r\nConnection: close\r\n\r\n", s.healthPath(server.Service), server.Address); err != nil {
		return probeFailed
	}
	switch begun, err := upstream.ReadWhole(conn, http.MethodGet); {
	case err == nil:
		return probeAnswered
	case begun, errors.Is(err, os.ErrDeadlineExceeded):
		return probeSilent
	}
	return probeFailed
}

func (s *Site) healthPath(name string) string {
	if version := s.keeper.Current(); version != nil {
		if svc, found := version.Service(name); found && svc.HealthPath != "" && !strings.ContainsAny(svc.HealthPath, " \r\n") {
			return svc.HealthPath
		}
	}
	return "/"
}

// forwarder implements relay.Forwarder with the other entry instances.
type forwarder struct {
	site *Site

	mu sync.Mutex
	// inFlight counts the requests in flight at each instance, and unwilling holds when one last did
	// not serve a request, by address.
	inFlight  map[string]int
	unwilling map[string]time.Time
}

func newForwarder(s *Site) *forwarder {
	return &forwarder{site: s, inFlight: map[string]int{}, unwilling: map[string]time.Time{}}
}

// forwardedHead is the first piece of an answer.
type forwardedHead struct {
	Status int         `cbor:"1,keyasint"`
	Header http.Header `cbor:"2,keyasint,omitempty"`
}

// Forward implements relay.Forwarder.
func (f *forwarder) Forward(ctx context.Context, request relay.Forwarded, w http.ResponseWriter) error {
	data, err := cbor.Marshal(request)
	if err != nil {
		return errors.Wrap(relay.ErrNotForwarded, err.Error())
	}
	log := f.site.logger("reachability").WithField("request_id", request.Call.ID)
	for range maxForwardTries {
		instance, found := f.choose(time.Now())
		if !found || ctx.Err() != nil {
			break
		}
		begun := false
		err := f.site.peers.Forward(ctx, instance.PeerAddress, data, func(piece []byte) error {
			if begun {
				return writePiece(w, piece)
			}
			begun = true
			return writeForwardedHead(w, piece)
		})
		var failure *peer.Error
		unwilling := errors.Is(err, peer.ErrNotFound) || (errors.As(err, &failure) && !failure.Sent)
		f.done(time.Now(), instance.PeerAddress, unwilling)
		if !unwilling {
			return err
		}
		log.WithError(err).WithField("peer", instance.Instance).Debug("reachability: instance does not serve the request")
	}
	return relay.ErrNotForwarded
}

func writeForwardedHead(w http.ResponseWriter, piece []byte) error {
	var head forwardedHead
	if err := cbor.Unmarshal(piece, &head); err != nil {
		return errors.Wrap(err, "decode head")
	}
	if err := answer.CheckHead(head.Status, head.Header); err != nil {
		return err
	}
	for name, values := range head.Header {
		w.Header()[name] = values
	}
	w.WriteHeader(head.Status)
	return nil
}

func writePiece(w http.ResponseWriter, piece []byte) error {
	if _, err := w.Write(piece); err != nil {
		return errors.Wrap(err, "write to the caller")
	}
	return errors.Wrap(http.NewResponseController(w).Flush(), "write to the caller")
}

// choose returns the instance for a request and counts the request there: of two at random the one with
// fewer requests from here, and among equals one of this failure domain. Instances that did not serve
// a request lately come last.
func (f *forwarder) choose(now time.Time) (membership.Member, bool) {
	reachable := f.site.members.Reachable(now)
	rand.Shuffle(len(reachable), func(i, j int) { reachable[i], reachable[j] = reachable[j], reachable[i] })
	f.mu.Lock()
	defer f.mu.Unlock()
	isUnwilling := func(m membership.Member) int {
		if now.Sub(f.unwilling[m.PeerAddress]) < unwillingTTL {
			return 1
		}
		return 0
	}
	slices.SortStableFunc(reachable, func(a, b membership.Member) int { return cmp.Compare(isUnwilling(a), isUnwilling(b)) })
	if len(reachable) == 0 {
		return membership.Member{}, false
	}
	chosen := reachable[0]
	if len(reachable) > 1 && f.isBetter(reachable[1], chosen) && isUnwilling(reachable[1]) <= isUnwilling(chosen) {
		chosen = reachable[1]
	}
	f.inFlight[chosen.PeerAddress]++
	return chosen, true
}

func (f *forwarder) isBetter(a, b membership.Member) bool {
	if here, there := f.inFlight[a.PeerAddress], f.inFlight[b.PeerAddress]; here != there {
		return here < there
	}
	return a.FailureDomain == f.site.settings.FailureDomain && b.FailureDomain != f.site.settings.FailureDomain
}

// done records the end of a request at an instance.
func (f *forwarder) done(now time.Time, address string, unwilling bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.inFlight[address]--; f.inFlight[address] <= 0 {
		delete(f.inFlight, address)
	}
	for other, at := range f.unwilling {
		if now.Sub(at) >= unwillingTTL {
			delete(f.unwilling, other)
		}
	}
	if unwilling {
		f.unwilling[address] = now
	}
}

// Forward serves a request for another entry instance.
func (h *peerHandler) Forward(ctx context.Context, data []byte, send func(piece []byte) error) error {
	var request relay.Forwarded
	if err := cbor.Unmarshal(data, &request); err != nil {
		return errors.Wrap(peer.ErrNotFound, err.Error())
	}
	if request.Call.Header == nil {
		request.Call.Header = http.Header{}
	}
	w := &pieceWriter{header: http.Header{}, send: send}
	err := h.s.relay.ServeForwarded(ctx, request, w)
	if errors.Is(err, relay.ErrNotForwarded) {
		return errors.Wrap(peer.ErrNotFound, err.Error())
	}
	return err
}

// pieceWriter is an http.ResponseWriter that sends an answer in pieces, the head first.
type pieceWriter struct {
	header http.Header
	begun  bool
	send   func(piece []byte) error
	err    error
}

// Header implements http.ResponseWriter.
func (p *pieceWriter) Header() http.Header { return p.header }

// WriteHeader implements http.ResponseWriter. Its error is that of the next Write.
func (p *pieceWriter) WriteHeader(status int) {
	if p.begun {
		return
	}
	p.begun = true
	head, err := cbor.Marshal(forwardedHead{status, p.header})
	if err == nil {
		err = p.send(head)
	}
	p.err = errors.Wrap(err, "send head")
}

// Write implements http.ResponseWriter.
func (p *pieceWriter) Write(data []byte) (int, error) {
	p.WriteHeader(http.StatusOK)
	for piece := range slices.Chunk(data, maxPieceBytes) {
		if p.err == nil {
			p.err = p.send(piece)
		}
	}
	return len(data), p.err
}

// Flush implements http.Flusher; pieces are sent at once.
func (p *pieceWriter) Flush() {}
