// Package admission decides which requests an entry instance lets through to the
// backend servers: it keeps the limits of client accounts over all entry instances,
// queues what has to wait, and refuses at once what can't be answered in time.
//
// The table is pure. Time, requests, their ends and what peers report come in as calls,
// orders come out. Limits are divided among the entry instances by demand without a call
// per request; see share for the rule and its bound.
//
// # Usage
//
//	table := admission.New()
//	table.SetServices(now, version, files)
//	table.SetEntries(now, entryInstances)
//	table.SetSlots(now, "model-bench", slots)
//	order, others := table.Ask(now, admission.Ask{RequestID: id, ...})
//	// order is Admitted, Waiting or Refused; others concern requests that waited
//	orders := table.Done(now, id, tokens)
//	orders = table.Tick(now) // every 50 ms or so
//
// # Locks
//
// The table has one mutex and calls nothing outside the package while it is locked, so
// it may be called with any other lock held.
package admission

import (
	"sort"
	"strings"
	"sync"
	"time"

	"papayaport.dev/serving/process/membership"
	"papayaport.dev/serving/process/problem"
	"papayaport.dev/serving/version/service"
)

// Verdict tells what happens to a request.
type Verdict int

// Verdicts.
const (
	// Admitted lets a request through.
	Admitted Verdict = iota
	// Waiting keeps a request in the queue; an order for it follows.
	Waiting
	// Refused ends a request; the order's Problem tells why.
	Refused
)

// Ask is a request that wants to be let through.
type Ask struct {
	RequestID string
	Service   string
	// Account is the client account's name in the service's file.
	Account string
	// Priority is 0 (lowest) to 9.
	Priority int
	// Tokens is the expected number of prompt and answer tokens.
	Tokens   int
	Deadline time.Time
}

// Order tells what happens to one request.
type Order struct {
	RequestID string
	Verdict   Verdict
	// Problem is set when the verdict is Refused.
	Problem *problem.Error
}

const (
	// peersLife is the age beyond which what peers reported counts as not heard.
	peersLife = 3 * time.Second
	// unlimitedSlots stands for a service whose backend servers' slots were not set.
	unlimitedSlots = -1
	// slotFactor is the number of admitted requests per slot of the backend servers.
	slotFactor = 1.25
	// usualQueue is the queue's length for a service whose file names none.
	usualQueue = 256
	// usualAgeing raises a waiting request by one priority when the file names no time.
	usualAgeing = time.Second
)

// Table holds the limits, the queues and the running requests of one entry instance.
type Table struct {
	mu       sync.Mutex
	version  uint64
	services map[string]*queue
	requests map[string]*item
	// listed is the number of entry instances by the instance list, this one included.
	listed  int
	totals  membership.Totals
	heardAt time.Time
}

// New returns a table without services.
func New() *Table {
	return &Table{services: map[string]*queue{}, requests: map[string]*item{}, listed: 1}
}

// SetServices puts the limits of a configuration version into force. Older versions are
// ignored. Requests of services and accounts that are gone run to their end, and waiting
// ones are refused by the next Tick.
func (t *Table) SetServices(now time.Time, version uint64, files []*service.File) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if version < t.version {
		return
	}
	t.version = version
	kept := make(map[string]*queue, len(files))
	for _, file := range files {
		q := t.services[file.Name]
		if q == nil {
			q = newQueue(file.Name)
		}
		q.configure(now, file)
		kept[file.Name] = q
	}
	for name, q := range t.services {
		if kept[name] == nil {
			q.removed = true
			if q.running > 0 || q.waiting > 0 {
				kept[name] = q
			}
		}
	}
	t.services = kept
}

// SetEntries sets the number of entry instances by the instance list, this one included.
func (t *Table) SetEntries(_ time.Time, count int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.listed = max(count, 1)
}

// SetSlots sets the slots of all live backend servers of a service together.
func (t *Table) SetSlots(_ time.Time, name string, slots int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if q := t.services[name]; q != nil {
		q.slots = slots
	}
}

// Peers takes in what the other entry instances report.
func (t *Table) Peers(now time.Time, totals membership.Totals) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.totals = totals
	t.heardAt = now
	t.listed = max(t.listed, totals.Entries+1)
	for _, q := range t.services {
		q.peersRunning = 0
	}
	for name, use := range totals.ByAccount {
		service, _, _ := strings.Cut(name, "/")
		if q := t.services[service]; q != nil {
			q.peersRunning += use.InFlight
		}
	}
}

// Use returns what the client accounts take through this entry instance. InFlight counts
// admitted requests; waiting ones are not in it.
func (t *Table) Use(now time.Time) []membership.AccountUse {
	t.mu.Lock()
	defer t.mu.Unlock()
	var use []membership.AccountUse
	for _, q := range t.services {
		for name, a := range q.accounts {
			u := membership.AccountUse{
				Account:           q.name + "/" + name,
				RequestsPerSecond: a.requests.demand.rate(now),
				TokensPerSecond:   a.tokens.demand.rate(now),
				InFlight:          a.running,
			}
			if u.InFlight > 0 || u.RequestsPerSecond > negligibleRate {
				use = append(use, u)
			}
		}
	}
	sort.Slice(use, func(i, j int) bool { return use[i].Account < use[j].Account })
	return use
}

// fleet returns how the limits are divided at the moment.
func (t *Table) fleet(now time.Time) fleet {
	f := fleet{listed: t.listed, heard: 1}
	if now.Sub(t.heardAt) <= peersLife {
		f.heard += t.totals.Entries
	}
	return f
}

// peersUse returns what the peers that are heard report of an account.
func (t *Table) peersUse(now time.Time, q *queue, account string) membership.AccountUse {
	if now.Sub(t.heardAt) > peersLife {
		return membership.AccountUse{}
	}
	return t.totals.ByAccount[q.name+"/"+account]
}
