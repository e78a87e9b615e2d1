package outside

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
)

// Misbehaviour is what a server does wrong with its next requests.
type Misbehaviour int

// Misbehaviours.
const (
	// Nothing answers as the pages say.
	Nothing Misbehaviour = iota
	// Refuse says that it did not run the request.
	Refuse
	// RunAndReset runs the request and resets the connection without an answer.
	RunAndReset
	// Truncate breaks the answer off in its middle.
	Truncate
	// Twice sends the whole answer two times.
	Twice
	// Foreign sends an answer to another request first.
	Foreign
	// Nonsense sends bytes that are no answer.
	Nonsense
	// Encoded says that the body is encoded.
	Encoded
	// Fail answers 500 after it ran the request.
	Fail
	// Hang runs the request and never answers.
	Hang
	// EndlessHead, EndlessLines and EndlessBody send an answer without end: one line, many
	// lines, or a body; a stream sends an event without end in place of the body.
	EndlessHead
	EndlessLines
	EndlessBody
	// LateTwice sends the whole answer, and a second copy when the connection is in use again;
	// LateTwiceBare leaves the request's id out of the copy.
	LateTwice
	LateTwiceBare
	// Trickle sends a byte of the body, or of an event, each tricklePeriod.
	Trickle
)

const (
	// tricklePeriod is far below the longest silence that anyone allows.
	tricklePeriod = 100 * time.Millisecond
	// endlessPiece is what is repeated without end, in bytes.
	endlessPiece = 16 << 10
)

// Server describes a backend server.
type Server struct {
	ID      string
	Service string
	Zone    string
	Slots   int
	// Queue is the number of requests that wait for a slot; what is beyond is refused.
	Queue int
	// Work is the time that a request takes, and for streams the time between events.
	Work time.Duration
	// Events is the number of events of a stream; 0 makes a plain service.
	Events int
	// Advertise returns the address to register for the one that the server listens at;
	// nil registers that one.
	Advertise func(listening string) (string, error)
}

// Wishes are header fields in which a server asks for something, as they are sent with each
// answer; empty ones are left out.
type Wishes struct {
	// Limit is the number of requests a second that the server takes from all together.
	Limit string
	// Leaving is "1" when the server leaves.
	Leaving string
	// RetryAfter is sent with refusals only, in seconds.
	RetryAfter string
}

// Told is an answer in which the server asked for something.
type Told struct {
	// ID is that of the request that was answered.
	ID string
	At time.Time
	Wishes
}

// Run is one request that the server began to run.
type Run struct {
	ID     string
	At     time.Time
	Method string
	Target string
	Header http.Header
	Body   string
}

// Arrival is one request that reached the server, whether it ran or not.
type Arrival struct {
	ID string
	At time.Time
}

// Backend is a running backend server.
type Backend struct {
	Server
	Address string
	store   *Store
	born    int64
	cancel  context.CancelFunc

	mu          sync.Mutex
	wishes      Wishes
	wrong       Misbehaviour
	times       *atomic.Int64
	active      int
	waiting     int
	freed       *sync.Cond
	runs        []Run
	arrivals    []Arrival
	told        []Told
	large       string
	misdirected int
	draining    bool
}

// Start starts a backend server and registers it.
func Start(ctx context.Context, store *Store, s Server) (*Backend, error) {
	ctx, cancel := context.WithCancel(ctx)
	b := &Backend{Server: s, store: store, born: time.Now().UnixMilli(), cancel: cancel}
	b.freed = sync.NewCond(&b.mu)
	var err error
	if b.Address, err = Serve(ctx, b); err != nil {
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

// Register writes the server's entry.
func (b *Backend) Register() {
	b.mu.Lock()
	state := "ready"
	if b.draining {
		state = "draining"
	}
	b.mu.Unlock()
	entry, err := json.Marshal(map[string]any{
		"service": b.Service, "address": b.Address, "zone": b.Zone, "version": "v1", "slots": b.Slots,
		"state": state, "cold_remaining_ms": 0, "sequence": 1, "born": b.born,
	})
	if err != nil {
		panic(errors.Wrap(err, "encode entry")) // a map of plain values always encodes
	}
	b.store.Put("servers/"+b.ID, entry)
}

// Unregister removes the server's entry.
func (b *Backend) Unregister() { b.store.Delete("servers/" + b.ID) }

// Drain announces that the server leaves. It goes on serving.
func (b *Backend) Drain() {
	b.mu.Lock()
	b.draining = true
	b.mu.Unlock()
	b.Register()
}

// Stop ends the server at once and cuts its connections.
func (b *Backend) Stop() { b.cancel() }

// Misbehave makes the next requests go wrong.
func (b *Backend) Misbehave(wrong Misbehaviour, times int) {
	var left atomic.Int64
	left.Store(int64(times))
	b.MisbehaveTogether(wrong, &left)
}

// MisbehaveTogether makes the next requests go wrong that reach this server or another one
// with the same number left.
func (b *Backend) MisbehaveTogether(wrong Misbehaviour, left *atomic.Int64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.wrong, b.times = wrong, left
}

// Wish sets what the server asks for from now on.
func (b *Backend) Wish(wishes Wishes) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.wishes = wishes
}

// Told returns the answers in which the server asked for something.
func (b *Backend) Told() []Told {
	b.mu.Lock()
	defer b.mu.Unlock()
	return append([]Told(nil), b.told...)
}

// tell puts what the server asks for into the head of an answer.
func (b *Backend) tell(id string, header http.Header, refused bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	told := Told{ID: id, At: time.Now(), Wishes: b.wishes}
	if !refused {
		told.RetryAfter = ""
	}
	if told.Wishes != (Wishes{}) {
		b.told = append(b.told, told)
	}
	fields := map[string]string{"Server-Limit": b.wishes.Limit, "Server-Leaving": b.wishes.Leaving}
	if refused {
		fields["Retry-After"] = b.wishes.RetryAfter
	}
	for name, value := range fields {
		if value != "" {
			header.Set(name, value)
		}
	}
}

// Runs returns the requests that the server began to run.
func (b *Backend) Runs() []Run {
	b.mu.Lock()
	defer b.mu.Unlock()
	return append([]Run(nil), b.runs...)
}

// Arrivals returns the requests that reached the server and were meant for it.
func (b *Backend) Arrivals() []Arrival {
	b.mu.Lock()
	defer b.mu.Unlock()
	return append([]Arrival(nil), b.arrivals...)
}

// Misdirected returns the number of requests that were meant for another server.
func (b *Backend) Misdirected() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.misdirected
}

// Seal returns the signature of an answer to a request.
func (b *Backend) Seal(id string) string { return "seal." + b.ID + "." + id }

func (b *Backend) next() Misbehaviour {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.times == nil || b.times.Add(-1) < 0 {
		return Nothing
	}
	return b.wrong
}

// begin waits for a slot, and tells whether the request got one before its caller left.
func (b *Backend) begin(ctx context.Context, run Run) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.active >= b.Slots && b.waiting >= b.Queue {
		return false
	}
	b.waiting++
	stop := context.AfterFunc(ctx, func() {
		b.mu.Lock()
		defer b.mu.Unlock()
		b.freed.Broadcast()
	})
	for b.active >= b.Slots && ctx.Err() == nil {
		b.freed.Wait()
	}
	stop()
	b.waiting--
	if ctx.Err() != nil {
		return false
	}
	run.At = time.Now()
	b.active++
	b.runs = append(b.runs, run)
	return true
}

// load is what an answer tells: running, waiting, slots.
func (b *Backend) load() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return fmt.Sprintf("%d,%d,%d", b.active, b.waiting, b.Slots)
}

func (b *Backend) end() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.active--
	b.freed.Broadcast()
}

// ServeHTTP runs one request.
func (b *Backend) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get("X-Papayaport-Attempt-Id")
	header := w.Header()
	header.Set("X-Papayaport-Attempt-Id", id)
	header.Set("Keep-Alive", "timeout=5")
	wrong := b.next()
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
	now := time.Now()
	b.mu.Lock()
	b.arrivals = append(b.arrivals, Arrival{id, now})
	b.mu.Unlock()
	run := Run{ID: id, At: now, Method: r.Method, Target: r.RequestURI, Header: r.Header.Clone(), Body: string(body)}
	if wrong == Refuse || !b.begin(r.Context(), run) {
		header.Set("X-Papayaport-Not-Executed", "1")
		b.tell(id, header, true)
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	defer b.end()
	b.tell(id, header, false)
	header.Set("X-Papayaport-Instance-Load", b.load())
	header.Set("X-Papayaport-Server-Seal", b.Seal(id))
	switch wrong {
	case EndlessHead:
		b.endless(w, "HTTP/1.1 200 OK\r\nX-Long: ", strings.Repeat("x", endlessPiece))
		return
	case EndlessLines:
		b.endless(w, "HTTP/1.1 200 OK\r\n", strings.Repeat("X-Line: x\r\n", endlessPiece/11))
		return
	case EndlessBody, Trickle:
		header.Set("Content-Type", "text/event-stream")
		w.WriteHeader(http.StatusOK)
		b.trickle(w, r, wrong)
		return
	}
	if b.Events > 0 && wrong != Fail {
		b.stream(w, r, wrong)
		return
	}
	b.plain(w, r, id, wrong)
}

// Large replaces the bodies of a plain service from now on.
func (b *Backend) Large(body string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.large = body
}

// Body is the whole answer of a plain service to a request.
func (b *Backend) Body(id string) string {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.large != "" {
		return b.large
	}
	return "answer of " + b.ID + " to " + id
}

func (b *Backend) plain(w http.ResponseWriter, r *http.Request, id string, wrong Misbehaviour) {
	select {
	case <-time.After(b.Work):
	case <-r.Context().Done():
		return
	}
	answer := b.Body(id)
	switch wrong {
	case RunAndReset:
		b.raw(w, "")
	case Hang:
		<-r.Context().Done()
	case Nonsense:
		b.raw(w, "this is no answer\r\n\r\n")
	case Truncate:
		b.raw(w, b.head(id, len(answer))+answer[:len(answer)/2])
	case Twice:
		b.raw(w, b.head(id, len(answer))+answer+b.head(id, len(answer))+answer)
	case LateTwice, LateTwiceBare:
		copied := b.head(id, len(answer)) + answer
		if wrong == LateTwiceBare {
			copied = strings.Replace(copied, "X-Papayaport-Attempt-Id: "+id+"\r\n", "", 1)
		}
		b.late(w, b.head(id, len(answer))+answer, copied)
	case Foreign:
		b.raw(w, b.head("another", 5)+"wrong"+b.head(id, len(answer))+answer)
	case Encoded:
		w.Header().Set("Content-Encoding", "gzip")
		_, _ = io.WriteString(w, answer)
	case Fail:
		w.WriteHeader(http.StatusInternalServerError)
		_, _ = io.WriteString(w, "failed")
	default:
		w.Header().Set("Content-Length", strconv.Itoa(len(answer)))
		_, _ = io.WriteString(w, answer) // the caller may be gone
	}
}

// endless writes past net/http until the caller closes.
func (b *Backend) endless(w http.ResponseWriter, begin, repeated string) {
	conn, buffer, err := http.NewResponseController(w).Hijack()
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	defer conn.Close()
	write(buffer.Writer, begin)
	for err == nil {
		_, err = io.WriteString(conn, repeated)
	}
}

// trickle writes a body without end, as fast as it is read or a byte now and then.
func (b *Backend) trickle(w http.ResponseWriter, r *http.Request, wrong Misbehaviour) {
	piece, control := strings.Repeat("x", endlessPiece), http.NewResponseController(w)
	if wrong == Trickle {
		piece = "x"
	}
	for r.Context().Err() == nil {
		if _, err := io.WriteString(w, piece); err != nil {
			return
		}
		if wrong == Trickle {
			_ = control.Flush() // an error shows in the next write
			time.Sleep(tricklePeriod)
		}
	}
}

func (b *Backend) head(id string, length int) string {
	return fmt.Sprintf("HTTP/1.1 200 OK\r\nX-Papayaport-Attempt-Id: %s\r\nX-Papayaport-Server-Seal: %s\r\nKeep-Alive: timeout=5\r\nContent-Length: %d\r\n\r\n",
		id, b.Seal(id), length)
}

// raw writes bytes past net/http and closes the connection a little later.
func (b *Backend) raw(w http.ResponseWriter, data string) {
	conn, buffer, err := http.NewResponseController(w).Hijack()
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	defer conn.Close()
	write(buffer.Writer, data)
	if data == "" {
		if tcp, ok := conn.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0) // close with a reset
		}
		return
	}
	time.Sleep(50 * time.Millisecond)
}

// late answers past net/http and sends more bytes as soon as the next request has begun to
// arrive, and then no more.
func (b *Backend) late(w http.ResponseWriter, answer, more string) {
	conn, buffer, err := http.NewResponseController(w).Hijack()
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	defer conn.Close()
	write(buffer.Writer, answer)
	if _, err := buffer.ReadByte(); err != nil {
		return
	}
	write(buffer.Writer, more)
	time.Sleep(50 * time.Millisecond)
}

func write(out *bufio.Writer, data string) {
	_, _ = out.WriteString(data) // Flush returns the error, and the test sees the answer
	_ = out.Flush()
}

// Event is one event of a stream.
func Event(number int) string { return fmt.Sprintf("id: %d\ndata: piece %d\n\n", number, number) }

func (b *Backend) stream(w http.ResponseWriter, r *http.Request, wrong Misbehaviour) {
	first := 1
	if last, err := strconv.Atoi(r.Header.Get("Last-Event-Id")); err == nil {
		first = last + 1
	}
	w.Header().Set("Content-Type", "text/event-stream")
	control := http.NewResponseController(w)
	for number := first; number <= b.Events; number++ {
		select {
		case <-time.After(b.Work):
		case <-r.Context().Done():
			return
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
