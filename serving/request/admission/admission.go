// Package admission implements admission control at an entry instance. It enforces the
// limits of client accounts across all entry instances, queues requests that have to wait
// for capacity, and immediately refuses requests that can't meet their deadline.
//
// The table does no I/O and reads no clock: times, requests, completions and the usage
// reported by peers are passed in as arguments, and decisions are returned. Limits are
// divided among the entry instances by demand, without a remote call per request; see share
// for the rule and its bound.
//
// # Usage
//
//	table := admission.New()
//	table.SetServices(now, version, files)
//	table.SetEntries(now, entryInstances)
//	table.SetSlots(now, "model-bench", slots)
//	order, others := table.Admit(now, admission.Ask{RequestID: id, ...})
//	// order.Verdict is Admitted, Waiting or Refused; others are for queued requests
//	orders := table.Done(now, id, tokens)
//	orders = table.Tick(now) // every 50 ms or so
//
// # Locks
//
// The table has one mutex and calls no code outside the package while holding it, so it may
// be called with any other lock held.
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

// Verdict is the outcome of an admission decision.
type Verdict int

// Verdicts.
const (
	// Admitted means that the request may be sent to a backend server.
	Admitted Verdict = iota
	// Waiting means that the request is queued; a later call returns its final decision.
	Waiting
	// Refused means that the request must not run; Problem holds the reason.
	Refused
)

// Ask describes a request that is submitted for admission.
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

// Decision is the decision on one request.
type Decision struct {
	RequestID string
	Verdict   Verdict
	// Problem is set when the verdict is Refused.
	Problem *problem.Error
}

const (
	// peerReportTTL is the age from which the last peer report is ignored.
	peerReportTTL = 3 * time.Second
	// unlimitedSlots marks a service for which SetSlots was not called.
	unlimitedSlots = -1
	// slotFactor is the number of requests admitted per slot of the backend servers.
	slotFactor = 1.25
	// defaultQueueLength is the maximum number of queued requests of a service whose file sets none.
	defaultQueueLength = 256
	// defaultAgeing is the waiting time that raises a request by one priority level when the
	// service file sets none.
	defaultAgeing = time.Second
)

// Table holds the limits, the queues and the running requests of one entry instance.
type Table struct {
	mu       sync.Mutex
	version  uint64
	services map[string]*queue
	requests map[string]*item
	// listed is the number of entry instances in the instance list, including this one.
	listed         int
	totals         membership.Totals
	peersUpdatedAt time.Time
}

// New returns a table without services.
func New() *Table {
	return &Table{services: map[string]*queue{}, requests: map[string]*item{}, listed: 1}
}

// SetServices applies the limits of a configuration version. Older versions are ignored.
// Running requests of removed services and accounts continue to their end; waiting ones are
// refused by the next Tick.
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

// SetEntries sets the number of entry instances in the instance list, including this one.
func (t *Table) SetEntries(_ time.Time, count int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.listed = max(count, 1)
}

// SetSlots sets the total number of slots of all live backend servers of a service.
func (t *Table) SetSlots(_ time.Time, name string, slots int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if q := t.services[name]; q != nil {
		q.slots = slots
	}
}

// SetPeerUsage replaces the usage reported by the other entry instances.
func (t *Table) SetPeerUsage(now time.Time, totals membership.Totals) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.totals = totals
	t.peersUpdatedAt = now
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

// Usage returns the usage of each client account at this entry instance, sorted by account.
// InFlight counts admitted requests, not waiting ones.
func (t *Table) Usage(now time.Time) []membership.AccountUsage {
	t.mu.Lock()
	defer t.mu.Unlock()
	var use []membership.AccountUsage
	for _, q := range t.services {
		for name, a := range q.accounts {
			u := membership.AccountUsage{
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

// fleet returns the current number of entry instances and of those with a recent report.
func (t *Table) fleet(now time.Time) fleet {
	f := fleet{listed: t.listed, reporting: 1}
	if now.Sub(t.peersUpdatedAt) <= peerReportTTL {
		f.reporting += t.totals.Entries
	}
	return f
}

// peerUsage returns the sum of an account's usage at the peers, zero if their reports have
// expired.
func (t *Table) peerUsage(now time.Time, q *queue, account string) membership.AccountUsage {
	if now.Sub(t.peersUpdatedAt) > peerReportTTL {
		return membership.AccountUsage{}
	}
	return t.totals.ByAccount[q.name+"/"+account]
}
