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
	// planPeriod is the interval between two plans while backend servers are leaving.
	planPeriod = 200 * time.Millisecond
	// kvBytesPerSecond is the expected transfer rate of KV cache between engines.
	kvBytesPerSecond = 1 << 30
	// kvBytesPerToken is the expected size of one token's KV cache.
	kvBytesPerToken = 128 << 10
	// transferTimeout is the timeout of one copy of KV cache.
	transferTimeout = 5 * time.Second
	// leavingRetention is how long after its deadline a leaving backend server is still planned for.
	leavingRetention = time.Minute
)

// migrator migrates requests and hot prefixes off backend servers that are leaving.
type migrator struct {
	gateway *Gateway

	mu       sync.Mutex
	backends []route.Backend
	// leaving maps the ids of leaving backend servers to their deadlines.
	leaving map[string]time.Time
	// transferring holds the ids of attempts whose KV cache is being transferred.
	transferring map[string]bool
	plannedAt    time.Time
	// noticedAt is when each backend server was marked as leaving.
	noticedAt map[string]time.Time
	saved     savedPrefixes
}

func newMigrator(g *Gateway) *migrator {
	return &migrator{
		gateway: g, leaving: map[string]time.Time{}, transferring: map[string]bool{},
		noticedAt: map[string]time.Time{}, saved: savedPrefixes{},
	}
}

// SetBackends replaces the set of known backend servers.
func (g *Gateway) SetBackends(now time.Time, list []route.Backend) {
	g.Routes.SetBackends(now, list)
	slots := map[string]int{}
	kept := map[string]bool{}
	for _, name := range g.migrator.services() {
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
	g.Pool.Retain(kept)
	g.migrator.setBackends(list)
}

// MarkLeaving records that an incarnation of a backend server stops at a deadline. It gets no
// new work from now on, and the requests that it runs are migrated before the deadline.
func (g *Gateway) MarkLeaving(id string, incarnation uint64, deadline time.Time) {
	now := g.Clock()
	g.Routes.MarkLeaving(now, id, incarnation, deadline)
	if _, leaving := g.Routes.IsLeaving(id); !leaving {
		return
	}
	g.migrator.markLeaving(id, deadline)
	g.migrator.tick(now)
}

// services returns the services that had backend servers in the last call of SetBackends.
func (m *migrator) services() []string {
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

func (m *migrator) setBackends(list []route.Backend) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.backends = list
}

func (m *migrator) markLeaving(id string, deadline time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if known, found := m.leaving[id]; found && !deadline.Before(known) {
		return
	}
	m.leaving[id] = deadline
	m.noticedAt[id] = m.gateway.Clock()
	m.plannedAt = time.Time{}
}

func (m *migrator) tick(now time.Time) {
	input, due := m.planInput(now)
	if !due {
		return
	}
	work := map[string]*run{}
	chains := map[prefix.Block][]prefix.Block{}
	input.Requests = m.leavingWork(input.Leaving, work)
	input.Cached = m.hotPrefixes(now, input.Leaving, chains)
	for _, order := range reclaim.Plan(now, input) {
		if order.Kind == reclaim.Save {
			m.savePrefix(order, chains[order.Block])
			continue
		}
		if r := work[order.RequestID]; r != nil {
			m.execute(order, r)
		}
	}
}

// planInput returns the leaving servers and the receivers for a plan, or false if none is due.
func (m *migrator) planInput(now time.Time) (reclaim.Input, bool) {
	if !m.planDue(now) {
		return reclaim.Input{}, false
	}
	used := m.inFlightByBackend()
	m.mu.Lock()
	defer m.mu.Unlock()
	var in reclaim.Input
	for id, deadline := range m.leaving {
		if _, leaving := m.gateway.Routes.IsLeaving(id); !leaving || now.Sub(deadline) > leavingRetention {
			delete(m.leaving, id)
			delete(m.noticedAt, id)
			continue
		}
		in.Leaving = append(in.Leaving, m.leavingServer(id, deadline))
	}
	if len(m.leaving) == 0 {
		m.saved = savedPrefixes{}
	}
	for _, backend := range m.backends {
		if _, leaving := m.leaving[backend.ID]; !leaving {
			in.Receivers = append(in.Receivers, receiver(backend, used[backend.ID]))
		}
	}
	return in, len(in.Leaving) > 0
}

func (m *migrator) planDue(now time.Time) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	if len(m.leaving) == 0 || now.Sub(m.plannedAt) < planPeriod {
		return false
	}
	m.plannedAt = now
	return true
}

func (m *migrator) inFlightByBackend() map[string]int {
	used := map[string]int{}
	for _, use := range m.gateway.Routes.LocalLoad() {
		used[use.Backend] = use.InFlight
	}
	return used
}

func (m *migrator) leavingServer(id string, deadline time.Time) reclaim.Leaving {
	backend, _ := m.gateway.Routes.Backend(id)
	file, found := m.gateway.Configuration.Service(backend.Service)
	decode := time.Duration(0)
	if found {
		decode = time.Duration(file.LatencyTarget.BetweenTokensMS * float64(time.Millisecond))
	}
	return reclaim.Leaving{
		Backend: id, FailureDomain: backend.FailureDomain, Deadline: deadline,
		Exports: true, BytesPerSecond: kvBytesPerSecond, BytesPerToken: kvBytesPerToken,
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

// receiverCacheTokens is the cache space that a receiver is expected to free for a migrated
// request by evicting older prefixes.
const receiverCacheTokens = 32 << 10

// leavingWork returns the runs on the leaving servers as input of a plan, and stores them in
// byID by key.
func (m *migrator) leavingWork(leaving []reclaim.Leaving, byID map[string]*run) []reclaim.Request {
	leavingIDs := map[string]bool{}
	for _, server := range leaving {
		leavingIDs[server.Backend] = true
	}
	var work []reclaim.Request
	for _, r := range m.gateway.runs.unfinished() {
		current, holder := r.location()
		if current == nil || holder != "" || !leavingIDs[current.choice.Backend.ID] {
			continue
		}
		byID[r.key] = r
		work = append(work, m.workItem(r, current))
	}
	return work
}

func (m *migrator) workItem(r *run, current *attempt) reclaim.Request {
	generated := r.log.Tokens()
	m.mu.Lock()
	moving := m.transferring[current.id]
	m.mu.Unlock()
	return reclaim.Request{
		RequestID: r.key, Backend: current.choice.Backend.ID, Service: r.file.Name,
		Priority: r.priority, Deadline: r.deadline,
		PromptTokens: r.promptSize, GeneratedTokens: generated,
		RemainingTokens: max(1, r.chat.MaxTokens-generated),
		Idempotent:      true, Moving: moving,
	}
}

func (m *migrator) execute(order reclaim.Order, r *run) {
	current, _ := r.location()
	if current == nil || current.choice.Backend.ID != order.From {
		return
	}
	switch order.Kind {
	case reclaim.Resume:
		m.migrate(r, current, order.To, "resume")
	case reclaim.Transfer:
		m.setTransferring(current.id, true)
		go m.transferAndMigrate(r, current, order)
	default:
	}
}

func (m *migrator) setTransferring(attempt string, moving bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if moving {
		m.transferring[attempt] = true
		return
	}
	delete(m.transferring, attempt)
}

// migrate cancels the attempt on the leaving server and directs the next one to the receiver.
func (m *migrator) migrate(r *run, current *attempt, to, how string) {
	r.mu.Lock()
	r.nextBackend = to
	r.mu.Unlock()
	m.gateway.Metrics.countMigration(r.file.Name, how)
	m.gateway.Log.WithFields(logrus.Fields{"request_id": r.id, "from": current.choice.Backend.ID, "to": to, "how": how}).
		Info("gateway: request migrated off leaving server")
	current.cancel(errMigrated)
}

// transferAndMigrate copies the attempt's KV cache to the receiver and migrates the request. If the
// copy fails, the receiver recomputes the cache.
func (m *migrator) transferAndMigrate(r *run, current *attempt, order reclaim.Order) {
	defer m.setTransferring(current.id, false)
	ctx, cancel := context.WithTimeout(r.ctx, transferTimeout)
	defer cancel()
	how := "transfer"
	if err := m.copyAttemptKV(ctx, current, order); err != nil {
		m.gateway.Log.WithField("request_id", r.id).Warn("gateway: cannot copy KV cache, resuming without it: " + err.Error())
		how = "resume"
	}
	m.migrate(r, current, order.To, how)
}

func (m *migrator) copyAttemptKV(ctx context.Context, current *attempt, order reclaim.Order) error {
	to, _ := m.gateway.Routes.Backend(order.To)
	return m.copyKV(ctx, current.choice.Backend, to, engine.Export{Attempt: current.id})
}

func (m *migrator) engineClient(backend route.Backend) *engine.Client {
	return engine.New(m.gateway.Pool.Client(backend.ID, backend.Incarnation), backend.Address)
}
