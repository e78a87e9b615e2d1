package fakeplatform

import (
	"cmp"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
)

// Server describes a backend server.
type Server struct {
	ID      string
	Service string
	Zone    string
	// Version is the version of the server's software, FirstVersion when empty, and Defect the
	// defect of that version.
	Version string
	Defect  Defect
	Slots   int
	// QueueCapacity is the number of requests that may wait for a slot; further ones are refused.
	QueueCapacity int
	// ServiceTime is the service time of a request, and for streams the time between events.
	ServiceTime time.Duration
	// Events is the number of events of a stream; 0 makes a plain service.
	Events int
	// Listen is the address to listen on; a free loopback port when empty.
	Listen string
	// Advertise maps the address that the server listens on to the one to register; nil
	// registers the former.
	Advertise func(listening string) (string, error)
}

// Run is one request whose execution the server began.
type Run struct {
	ID     string
	At     time.Time
	Method string
	Target string
	Header http.Header
	Body   string
}

// Arrival is one request that reached the server, whether or not it was run.
type Arrival struct {
	ID string
	At time.Time
}

// Backend is a running backend server.
type Backend struct {
	Server
	Address     string
	store       *Store
	incarnation int64
	started     time.Time
	cancel      context.CancelFunc

	mu                  sync.Mutex
	backpressure        Backpressure
	misbehaviour        Misbehaviour
	misbehaviourCount   *atomic.Int64
	active              int
	waiting             int
	slotFreed           *sync.Cond
	runs                []Run
	arrivals            []Arrival
	backpressureAnswers []BackpressureAnswer
	bodyOverride        string
	misdirected         int
	draining            bool
	badAnswers          []Arrival
	// cut is set once the server has been cut, and interrupted counts the requests that were
	// running then or began later.
	cut         bool
	interrupted int
	crash       crash
	// peak is the largest number of requests in flight.
	peak int
}

// Start starts a backend server and registers it in the store.
func Start(ctx context.Context, store *Store, s Server) (*Backend, error) {
	ctx, cancel := context.WithCancel(ctx)
	if s.Version == "" {
		s.Version = FirstVersion
	}
	b := &Backend{Server: s, store: store, incarnation: time.Now().UnixMilli(), started: time.Now(), cancel: cancel}
	b.slotFreed = sync.NewCond(&b.mu)
	var err error
	if b.Address, err = serveOn(ctx, cmp.Or(s.Listen, freePortAddress), b); err != nil {
		cancel()
		return nil, err
	}
	if s.Advertise != nil {
		if b.Address, err = s.Advertise(b.Address); err != nil {
			cancel()
			return nil, err
		}
	}
	b.Register()
	return b, nil
}

// Register writes the server's registration to the store.
func (b *Backend) Register() {
	b.mu.Lock()
	state := "ready"
	if b.draining {
		state = "draining"
	}
	incarnation := b.incarnation
	b.mu.Unlock()
	entry, err := json.Marshal(map[string]any{
		"service": b.Service, "address": b.Address, "zone": b.Zone, "version": b.Version, "slots": b.Slots,
		"state": state, "cold_remaining_ms": 0, "sequence": 1, "born": incarnation,
	})
	if err != nil {
		panic(errors.Wrap(err, "encode entry")) // unreachable: a map of plain values always encodes
	}
	b.store.Put("servers/"+b.ID, entry)
}

// Unregister removes the server's registration from the store.
func (b *Backend) Unregister() { b.store.Delete("servers/" + b.ID) }

// Drain registers the server as draining. It continues to serve.
func (b *Backend) Drain() {
	b.mu.Lock()
	b.draining = true
	b.mu.Unlock()
	b.Register()
}

// Stop stops the server at once and closes its connections.
func (b *Backend) Stop() { b.cancel() }

// Runs returns the requests whose execution the server began.
func (b *Backend) Runs() []Run {
	b.mu.Lock()
	defer b.mu.Unlock()
	return append([]Run(nil), b.runs...)
}

// Arrivals returns the requests that reached the server and were addressed to it.
func (b *Backend) Arrivals() []Arrival {
	b.mu.Lock()
	defer b.mu.Unlock()
	return append([]Arrival(nil), b.arrivals...)
}

// Misdirected returns the number of requests that were addressed to another server.
func (b *Backend) Misdirected() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.misdirected
}

// PeakInFlight returns the largest number of requests that were running or waiting at a time.
func (b *Backend) PeakInFlight() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.peak
}

// Seal returns the server's signature of its answer to a request.
func (b *Backend) Seal(id string) string { return "seal." + b.ID + "." + id }

// acquireSlot waits for a slot and records the run. It returns false if the queue is full or ctx ends
// first.
func (b *Backend) acquireSlot(ctx context.Context, run Run) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.active >= b.Slots && b.waiting >= b.QueueCapacity {
		return false
	}
	b.waiting++
	b.peak = max(b.peak, b.active+b.waiting)
	stop := context.AfterFunc(ctx, func() {
		b.mu.Lock()
		defer b.mu.Unlock()
		b.slotFreed.Broadcast()
	})
	for b.active >= b.Slots && ctx.Err() == nil {
		b.slotFreed.Wait()
	}
	stop()
	b.waiting--
	if ctx.Err() != nil {
		return false
	}
	run.At = time.Now()
	b.active++
	b.countInterrupted()
	b.runs = append(b.runs, run)
	return true
}

// load returns the value of X-Papayaport-Instance-Load: running, waiting, slots.
func (b *Backend) load() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return fmt.Sprintf("%d,%d,%d", b.active, b.waiting, b.Slots)
}

func (b *Backend) releaseSlot() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.active--
	b.slotFreed.Broadcast()
}

// ServeHTTP handles one request.
func (b *Backend) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get("X-Papayaport-Attempt-Id")
	crashed := b.running()
	header := w.Header()
	header.Set("X-Papayaport-Attempt-Id", id)
	header.Set("Keep-Alive", "timeout=5")
	wrong := b.nextMisbehaviour()
	body, err := io.ReadAll(r.Body)
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	if expected := r.Header.Get("X-Papayaport-Expected-Instance"); expected != "" && expected != b.ID {
		header.Set("X-Papayaport-Instance-Id", b.ID)
		b.mu.Lock()
		b.misdirected++
		b.mu.Unlock()
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if id == "" && r.Header.Get("X-Papayaport-Expected-Instance") == "" {
		// Entry instances name the server in each request. This one comes from another process,
		// for instance one that still polls a server which had this address before.
		header.Set("X-Papayaport-Not-Executed", "1")
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	now := time.Now()
	b.mu.Lock()
	b.arrivals = append(b.arrivals, Arrival{id, now})
	b.mu.Unlock()
	run := Run{ID: id, At: now, Method: r.Method, Target: r.RequestURI, Header: r.Header.Clone(), Body: string(body)}
	if wrong == Refuse || !b.acquireSlot(r.Context(), run) {
		header.Set("X-Papayaport-Not-Executed", "1")
		b.writeBackpressureHeaders(id, header, true)
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	defer b.releaseSlot()
	if b.isDeadlyBody(string(body)) {
		b.Crash()
		panic(http.ErrAbortHandler)
	}
	b.writeBackpressureHeaders(id, header, false)
	header.Set("X-Papayaport-Instance-Load", b.load())
	header.Set("X-Papayaport-Server-Seal", b.Seal(id))
	switch wrong {
	case EndlessHeaderLine:
		b.writeEndless(w, "HTTP/1.1 200 OK\r\nX-Long: ", strings.Repeat("x", endlessPieceBytes))
		return
	case EndlessHeaderLines:
		b.writeEndless(w, "HTTP/1.1 200 OK\r\n", strings.Repeat("X-Line: x\r\n", endlessPieceBytes/11))
		return
	case EndlessBody, Trickle:
		header.Set("Content-Type", "text/event-stream")
		w.WriteHeader(http.StatusOK)
		b.writeEndlessBody(w, r, wrong)
		return
	}
	fails, slower := b.applyDefect(r)
	if fails {
		wrong = Fail
	}
	work := time.Duration(float64(b.ServiceTime) * slower)
	if b.Events > 0 && wrong != Fail {
		b.serveStream(w, r, crashed, wrong, work)
	} else {
		b.servePlain(w, r, id, crashed, wrong, work)
	}
	if (fails || slower > 1) && r.Context().Err() == nil {
		b.recordBadAnswer(id)
	}
}

// SetBody replaces the body of all later answers of a plain service.
func (b *Backend) SetBody(body string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.bodyOverride = body
}

// Body returns the body of a plain service's answer to a request.
func (b *Backend) Body(id string) string {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.bodyOverride != "" {
		return b.bodyOverride
	}
	return "answer of " + b.ID + " to " + id
}

// Event returns the encoded event with a number in a stream.
func Event(number int) string { return fmt.Sprintf("id: %d\ndata: piece %d\n\n", number, number) }

func (b *Backend) serveStream(w http.ResponseWriter, r *http.Request, crashed <-chan struct{}, wrong Misbehaviour, work time.Duration) {
	first := 1
	if last, err := strconv.Atoi(r.Header.Get("Last-Event-Id")); err == nil {
		first = last + 1
	}
	w.Header().Set("Content-Type", "text/event-stream")
	control := http.NewResponseController(w)
	for number := first; number <= b.Events; number++ {
		select {
		case <-time.After(work):
		case <-r.Context().Done():
			return
		case <-crashed:
			panic(http.ErrAbortHandler)
		}
		if number == first && b.isDeadly(r) {
			b.Crash()
			panic(http.ErrAbortHandler)
		}
		event := Event(number)
		if number == first+(b.Events-first)/2 {
			switch wrong {
			case Truncate:
				_, _ = io.WriteString(w, event[:len(event)/2])
				_ = control.Flush()
				panic(http.ErrAbortHandler)
			case Hang:
				<-r.Context().Done()
				return
			case RunAndReset:
				panic(http.ErrAbortHandler)
			}
		}
		if _, err := io.WriteString(w, event); err != nil {
			return
		}
		_ = control.Flush()
	}
}
