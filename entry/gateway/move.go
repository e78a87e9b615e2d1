package gateway

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"papayaport.dev/serving/connection/engine"
	"papayaport.dev/serving/process/reclaim"
	"papayaport.dev/serving/request/prefix"
	"papayaport.dev/serving/request/route"
)

const (
	// planPeriod is the time between two plans while backend servers are leaving.
	planPeriod = 200 * time.Millisecond
	// keptBytesPerSecond is the rate at which KV cache is expected to move between engines.
	keptBytesPerSecond = 1 << 30
	// keptBytesPerToken is the expected size of the KV cache of one token.
	keptBytesPerToken = 128 << 10
	// transferLimit bounds one move of KV cache.
	transferLimit = 5 * time.Second
	// goneAfter is how long a leaving backend server is planned for behind its deadline.
	goneAfter = time.Minute
)

// mover takes work off backend servers that are leaving.
type mover struct {
	gateway *Gateway

	mu       sync.Mutex
	backends []route.Backend
	leaving  map[string]time.Time
	moving   map[string]bool
	planned  time.Time
	// noted is when the leaving of each backend server was heard of.
	noted map[string]time.Time
	saved saves
}

func newMover(g *Gateway) *mover {
	return &mover{
		gateway: g, leaving: map[string]time.Time{}, moving: map[string]bool{},
		noted: map[string]time.Time{}, saved: saves{},
	}
}

// SetBackends replaces the set of backend servers that are known.
func (g *Gateway) SetBackends(now time.Time, list []route.Backend) {
	g.Routes.SetBackends(now, list)
	slots := map[string]int{}
	kept := map[string]bool{}
	for _, name := range g.moves.services() {
		slots[name] = 0
	}
	for _, backend := range list {
		kept[backend.ID] = true
		if _, leaving := g.Routes.IsLeaving(backend.ID); !leaving {
			slots[backend.Service] += backend.Slots
		}
	}
	for name, count := range slots {
		g.Admission.SetSlots(now, name, count)
	}
	g.Pool.Keep(kept)
	g.moves.setBackends(list)
}

// Leaving takes in that an incarnation of a backend server goes at a deadline. It gets
// no new work from now on, and what it runs moves in time.
func (g *Gateway) Leaving(id string, incarnation uint64, deadline time.Time) {
	now := g.Clock()
	g.Routes.Leaving(now, id, incarnation, deadline)
	if _, leaving := g.Routes.IsLeaving(id); !leaving {
		return
	}
	g.moves.markLeaving(id, deadline)
	g.moves.tick(now)
}

// services returns the services that had backend servers in the last list.
func (m *mover) services() []string {
	m.mu.Lock()
	defer m.mu.Unlock()
	var names []string
	for _, backend := range m.backends {
		if !slices.Contains(names, backend.Service) {
			names = append(names, backend.Service)
		}
	}
	return names
}

func (m *mover) setBackends(list []route.Backend) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.backends = list
}

func (m *mover) markLeaving(id string, deadline time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if known, found := m.leaving[id]; found && !deadline.Before(known) {
		return
	}
	m.leaving[id] = deadline
	m.noted[id] = m.gateway.Clock()
	m.planned = time.Time{}
}

func (m *mover) tick(now time.Time) {
	input, due := m.input(now)
	if !due {
		return
	}
	work := map[string]*run{}
	chains := map[prefix.Block][]prefix.Block{}
	input.Work = m.work(input.Leaving, work)
	input.Cached = m.cached(now, input.Leaving, chains)
	for _, order := range reclaim.Plan(now, input) {
		if order.Kind == reclaim.Save {
			m.save(order, chains[order.Block])
			continue
		}
		if r := work[order.RequestID]; r != nil {
			m.carryOut(order, r)
		}
	}
}

// input returns the leaving servers and the receivers, if a plan is due.
func (m *mover) input(now time.Time) (reclaim.Input, bool) {
	if !m.due(now) {
		return reclaim.Input{}, false
	}
	used := m.use()
	m.mu.Lock()
	defer m.mu.Unlock()
	var in reclaim.Input
	for id, deadline := range m.leaving {
		if _, leaving := m.gateway.Routes.IsLeaving(id); !leaving || now.Sub(deadline) > goneAfter {
			delete(m.leaving, id)
			delete(m.noted, id)
			continue
		}
		in.Leaving = append(in.Leaving, m.leavingServer(id, deadline))
	}
	if len(m.leaving) == 0 {
		m.saved = saves{}
	}
	for _, backend := range m.backends {
		if _, leaving := m.leaving[backend.ID]; !leaving {
			in.Receivers = append(in.Receivers, receiver(backend, used[backend.ID]))
		}
	}
	return in, len(in.Leaving) > 0
}

func (m *mover) due(now time.Time) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	if len(m.leaving) == 0 || now.Sub(m.planned) < planPeriod {
		return false
	}
	m.planned = now
	return true
}

func (m *mover) use() map[string]int {
	used := map[string]int{}
	for _, use := range m.gateway.Routes.Use() {
		used[use.Backend] = use.InFlight
	}
	return used
}

func (m *mover) leavingServer(id string, deadline time.Time) reclaim.Leaving {
	backend, _ := m.gateway.Routes.Backend(id)
	file, found := m.gateway.Versions.Service(backend.Service)
	decode := time.Duration(0)
	if found {
		decode = time.Duration(file.LatencyTarget.BetweenTokensMS * float64(time.Millisecond))
	}
	return reclaim.Leaving{
		Backend: id, FailureDomain: backend.FailureDomain, Deadline: deadline,
		Exports: true, BytesPerSecond: keptBytesPerSecond, BytesPerToken: keptBytesPerToken,
		DecodePerToken: decode,
	}
}

func receiver(backend route.Backend, used int) reclaim.Receiver {
	return reclaim.Receiver{
		Backend: backend.ID, Service: backend.Service, FailureDomain: backend.FailureDomain,
		FreeSlots: max(1, backend.Slots-used), FreeCacheTokens: receiverCacheTokens, Imports: true,
		PricePerHour: backend.PricePerHour,
	}
}

// receiverCacheTokens is the room that a receiver is expected to make for a moved
// request by dropping older prefixes.
const receiverCacheTokens = 32 << 10

// work returns the runs on the leaving servers, and fills byID with them.
func (m *mover) work(leaving []reclaim.Leaving, byID map[string]*run) []reclaim.Work {
	gone := map[string]bool{}
	for _, server := range leaving {
		gone[server.Backend] = true
	}
	var work []reclaim.Work
	for _, r := range m.gateway.runs.all() {
		current, handedTo := r.location()
		if current == nil || handedTo != "" || !gone[current.choice.Backend.ID] {
			continue
		}
		byID[r.key] = r
		work = append(work, m.workOf(r, current))
	}
	return work
}

func (m *mover) workOf(r *run, current *attempt) reclaim.Work {
	generated := r.log.Tokens()
	m.mu.Lock()
	moving := m.moving[current.id]
	m.mu.Unlock()
	return reclaim.Work{
		RequestID: r.key, Backend: current.choice.Backend.ID, Service: r.file.Name,
		Priority: r.priority, Deadline: r.deadline,
		PromptTokens: r.promptSize, GeneratedTokens: generated,
		RemainingTokens: max(1, r.chat.MaxTokens-generated),
		Idempotent:      true, Moving: moving,
	}
}

func (m *mover) carryOut(order reclaim.Order, r *run) {
	current, _ := r.location()
	if current == nil || current.choice.Backend.ID != order.From {
		return
	}
	switch order.Kind {
	case reclaim.Resume:
		m.move(r, current, order.To, "resume")
	case reclaim.Transfer:
		m.mark(current.id, true)
		go m.transfer(r, current, order)
	default:
	}
}

func (m *mover) mark(attempt string, moving bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if moving {
		m.moving[attempt] = true
		return
	}
	delete(m.moving, attempt)
}

// move ends the attempt on the leaving server; the next one goes to the receiver.
func (m *mover) move(r *run, current *attempt, to, how string) {
	r.mu.Lock()
	r.target = to
	r.mu.Unlock()
	m.gateway.Meters.moved(r.file.Name, how)
	m.gateway.Log.WithFields(logrus.Fields{"request_id": r.id, "from": current.choice.Backend.ID, "to": to, "how": how}).
		Info("gateway: request moved")
	current.cancel(errMoved)
}

// transfer copies the KV cache to the receiver and moves the request. Without the copy
// the receiver computes it anew.
func (m *mover) transfer(r *run, current *attempt, order reclaim.Order) {
	defer m.mark(current.id, false)
	ctx, cancel := context.WithTimeout(r.ctx, transferLimit)
	defer cancel()
	how := "transfer"
	if err := m.copyCache(ctx, current, order); err != nil {
		m.gateway.Log.WithField("request_id", r.id).Warn("gateway: copy of KV cache failed: " + err.Error())
		how = "resume"
	}
	m.move(r, current, order.To, how)
}

func (m *mover) copyCache(ctx context.Context, current *attempt, order reclaim.Order) error {
	to, _ := m.gateway.Routes.Backend(order.To)
	return m.copy(ctx, current.choice.Backend, to, engine.Export{Attempt: current.id})
}

func (m *mover) engine(backend route.Backend) *engine.Client {
	return engine.New(m.gateway.Pool.Client(backend.ID, backend.Incarnation), backend.Address)
}
