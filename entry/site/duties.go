package site

import (
	"context"
	"encoding/json"
	"maps"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"

	"papayaport.dev/serving/process/clock"
	"papayaport.dev/serving/process/platform"
	"papayaport.dev/serving/process/platform/store"
	"papayaport.dev/serving/process/sizing"
	"papayaport.dev/serving/process/usage"
	"papayaport.dev/serving/version/deployment"
)

const (
	// entriesPrefix holds a record of each entry instance.
	entriesPrefix = "papayaport/entries/"
	// reportsKey holds the sums that were fixed for reports.
	reportsKey = "papayaport/usage"
	// recordPeriod is the time between two looks at ended windows.
	recordPeriod = 250 * time.Millisecond
	// keptWindows is the number of windows that stay in a record and among the fixed sums.
	keptWindows = 6
	// dutyPeriod is the time between two looks at what the duties ask for.
	dutyPeriod = 500 * time.Millisecond
	// reportAfter is how long after a window's end its counts are added up, so that the
	// records of all instances are there.
	reportAfter = 2500 * time.Millisecond
	// reportWithin is how long after its end a window is still worth a report.
	reportWithin = 30 * time.Second
	// callTimeout bounds one call of a duty.
	callTimeout = time.Second
	// uncachedShare is the part of the tokens asked for that engines read anew: prompts
	// share most of their parts, and answers are no prompts.
	uncachedShare = 0.3
)

// record is what an entry instance keeps in the store about itself.
type record struct {
	Incarnation   uint64                 `json:"incarnation"`
	Region        string                 `json:"region"`
	FailureDomain string                 `json:"failure_domain"`
	PeerAddress   string                 `json:"peer_address"`
	CallerAddress string                 `json:"caller_address"`
	Usage         map[int64]usage.Counts `json:"usage,omitempty"`
	// InFlight holds the requests at backend servers through this instance by service, and
	// TokensPerSecond what client accounts ask for, both as of the last write.
	InFlight        map[string]int `json:"in_flight,omitempty"`
	TokensPerSecond float64        `json:"tokens_per_second,omitempty"`
}

// recordKeeper is the state of this instance's record.
type recordKeeper struct {
	loaded bool
	dirty  bool
	usage  map[int64]usage.Counts
}

// runRecord keeps this instance's record in the store, and finds the others.
func (s *Site) runRecord(ctx context.Context) error {
	return every(ctx, recordPeriod, func(ctx context.Context) {
		now := time.Now()
		if !s.record.loaded {
			s.loadRecord(ctx)
		}
		for _, window := range s.usage.Ended(now) {
			s.addWindow(window)
		}
		if s.record.loaded && s.record.dirty {
			s.writeRecord(ctx)
		}
	})
}

// loadRecord takes over the windows that the process before this one left behind.
func (s *Site) loadRecord(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	entry, err := s.platform.Store.Get(ctx, entriesPrefix+s.set.Instance)
	if err != nil && !errors.Is(err, store.ErrNotFound) {
		s.part("record").WithError(err).Warn("record: own record not read")
		return
	}
	old := record{}
	if err == nil {
		if err := json.Unmarshal(entry.Value, &old); err != nil {
			s.part("record").WithError(err).Warn("record: own record unreadable, replaced")
		}
	}
	s.record.loaded, s.record.dirty = true, true
	for number, counts := range old.Usage {
		s.addWindow(usage.Window{Number: number, Counts: counts})
	}
}

func (s *Site) addWindow(window usage.Window) {
	if s.record.usage == nil {
		s.record.usage = map[int64]usage.Counts{}
	}
	s.record.usage[window.Number] = usage.Sum([]usage.Counts{s.record.usage[window.Number], window.Counts})
	newest := slices.Max(slices.Collect(maps.Keys(s.record.usage)))
	maps.DeleteFunc(s.record.usage, func(number int64, _ usage.Counts) bool { return number <= newest-keptWindows })
	s.record.dirty = true
}

// writeRecord writes the record. It may be repeated without harm, so that a lost answer
// needs no look at what stands there.
func (s *Site) writeRecord(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	value, err := json.Marshal(record{
		Incarnation: s.incarnation(), Region: s.set.Region, FailureDomain: s.set.FailureDomain,
		PeerAddress: s.set.Peers, CallerAddress: s.set.Callers, Usage: s.record.usage,
		InFlight: s.inFlight(), TokensPerSecond: s.tokensPerSecond(time.Now()),
	})
	if err != nil {
		s.part("record").WithError(err).Error("record: not encoded")
		return
	}
	if _, err := s.platform.Store.Put(ctx, entriesPrefix+s.set.Instance, value, store.AnyRevision); err != nil {
		s.part("record").WithError(err).Warn("record: not written, tried again")
		return
	}
	s.record.dirty = false
}

// setEntries takes in the records of all entry instances and tells the membership of them.
func (s *Site) setEntries(own []platform.Entry) []record {
	var records []record
	var instances []platform.Instance
	for _, entry := range own {
		if !strings.HasPrefix(entry.Key, entriesPrefix) {
			continue
		}
		var r record
		if err := json.Unmarshal(entry.Value, &r); err != nil {
			s.part("record").WithError(err).WithField("key", entry.Key).Warn("record: unreadable, left out")
			continue
		}
		records = append(records, r)
		instances = append(instances, platform.Instance{
			ID: entry.Key[len(entriesPrefix):], Incarnation: r.Incarnation, Role: platform.EntryRole, Region: r.Region,
			FailureDomain: r.FailureDomain, PeerAddress: r.PeerAddress, Address: r.CallerAddress,
		})
	}
	s.members.Instances(time.Now(), instances)
	s.mu.Lock()
	s.listed = max(len(records), 1)
	s.records = records
	s.mu.Unlock()
	return records
}

// duty is the state of the holder of the duties.
type duty struct {
	fencing  uint64
	reported int64
	// reporting is the window that is being reported and is repeated until it is accepted.
	reporting *usage.Window
}

// runDuties does what one entry instance does for all, while it holds the lease.
func (s *Site) runDuties(ctx context.Context) error {
	var d duty
	return every(ctx, dutyPeriod, func(ctx context.Context) {
		fencing, held := s.leases.Held(dutyLease)
		if !held || s.relay.Draining() {
			return
		}
		if d.fencing != fencing {
			s.part("duties").WithField("fencing", fencing).Info("duties: taken over")
			d = duty{fencing: fencing}
			s.planner.Forget()
		}
		s.reportUsage(ctx, &d)
		s.orderServers(ctx, d.fencing)
	})
}

// stillHolds asks anew right before an act, since a call may have taken long.
func (s *Site) stillHolds(fencing uint64) bool {
	now, held := s.leases.Held(dutyLease)
	return held && now == fencing
}

func (s *Site) reportUsage(ctx context.Context, d *duty) {
	now := time.Now()
	due := s.usage.Number(now.Add(-reportAfter)) - 1
	if d.reported == 0 {
		// Windows that ended before are repeated, in case that the holder before did not
		// get to them; the sums that were fixed stay the same.
		d.reported = s.usage.Number(now.Add(-reportWithin / 2))
	}
	for number := d.reported + 1; number <= due; number++ {
		if !s.reportWindow(ctx, d, number) {
			return
		}
		d.reported = number
	}
}

// reportWindow fixes the sum of a window and sends it. False asks for another try.
func (s *Site) reportWindow(ctx context.Context, d *duty, number int64) bool {
	log := s.part("duties").WithField("window", number)
	if time.Since(s.usage.End(number)) > reportWithin {
		log.Warn("duties: window given up, too old")
		return true
	}
	if d.reporting == nil || d.reporting.Number != number {
		window, err := s.fixWindow(ctx, number)
		if err != nil {
			log.WithError(err).Warn("duties: sum of the window not fixed, tried again")
			return false
		}
		d.reporting = &window
	}
	if !s.stillHolds(d.fencing) {
		return false
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	if err := s.platform.Duties.Report(ctx, s.duty(d.fencing), *d.reporting); err != nil {
		log.WithError(err).Warn("duties: window not reported, tried again")
		return false
	}
	log.WithFields(logrus.Fields{"counts": d.reporting.Counts, "fencing": d.fencing}).Info("duties: window reported")
	return true
}

// fixWindow decides the counts of a window by a conditional write, or returns what was
// decided before.
func (s *Site) fixWindow(ctx context.Context, number int64) (usage.Window, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	entries, err := s.platform.Store.List(ctx, entriesPrefix)
	if err != nil {
		return usage.Window{}, err
	}
	var all []usage.Counts
	for _, r := range s.setEntries(entries.Entries) {
		all = append(all, r.Usage[number])
	}
	fixed := map[int64]usage.Counts{}
	entry, err := s.platform.Store.Get(ctx, reportsKey)
	switch {
	case errors.Is(err, store.ErrNotFound):
	case err != nil:
		return usage.Window{}, err
	default:
		if err := json.Unmarshal(entry.Value, &fixed); err != nil {
			return usage.Window{}, errors.Wrap(err, "fixed sums")
		}
	}
	if counts, found := fixed[number]; found {
		return usage.Window{Number: number, Counts: counts}, nil
	}
	window := usage.Window{Number: number, Counts: usage.Sum(all)}
	fixed[number] = window.Counts
	maps.DeleteFunc(fixed, func(other int64, _ usage.Counts) bool { return other <= number-keptWindows })
	value, err := json.Marshal(fixed)
	if err != nil {
		return usage.Window{}, errors.Wrap(err, "encode sums")
	}
	if _, err := s.platform.Store.Put(ctx, reportsKey, value, entry.Revision); err != nil {
		// The next try reads what stands there, whoever wrote it.
		return usage.Window{}, err
	}
	return window, nil
}

func (s *Site) duty(fencing uint64) Duty { return Duty{Holder: s.set.Instance, Fencing: fencing} }

// orderServers orders the number of backend servers that each service should have.
func (s *Site) orderServers(ctx context.Context, fencing uint64) {
	version := s.keeper.Current()
	if version == nil || !s.fleetKnown.Load() {
		return
	}
	for i := range version.Services {
		in := s.sizingInput(&version.Services[i])
		for _, order := range s.planner.Plan(time.Now(), in) {
			if !s.stillHolds(fencing) {
				return
			}
			s.order(ctx, fencing, order, in)
		}
	}
}

func (s *Site) order(ctx context.Context, fencing uint64, order sizing.Order, in sizing.Input) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	err := s.platform.Duties.Order(ctx, s.duty(fencing), order)
	s.planner.Ordered(time.Now(), order, err == nil)
	log := s.part("duties").WithFields(logrus.Fields{
		"service": order.Service, "failure_domain": order.FailureDomain, "reclaimable": order.Reclaimable,
		"count": order.Count, "in_flight": in.InFlight, "prefill_per_second": int(in.PrefillPerSecond),
		"live": in.Live[order.FailureDomain], "fencing": fencing,
	})
	if err != nil {
		log.WithError(err).Warn("duties: order refused")
		return
	}
	log.Info("duties: ordered")
}

// sizingInput gathers the load of a service over all entry instances.
func (s *Site) sizingInput(svc *deployment.Service) sizing.Input {
	now := time.Now()
	in := sizing.Input{Service: svc, Live: map[string]sizing.Count{}}
	for _, domain := range s.set.FailureDomains {
		in.Live[domain] = sizing.Count{}
	}
	for _, server := range s.backends() {
		if server.Service != svc.Name || server.Leaving {
			continue
		}
		count := in.Live[server.FailureDomain]
		if server.Reclaimable {
			count.Reclaimable++
		} else {
			count.OnDemand++
		}
		in.Live[server.FailureDomain] = count
	}
	// Peers tell their demand sooner in a small fleet, the records in a large one.
	heard, recorded := s.tokensPerSecond(now), 0.0
	for _, use := range s.members.Totals(now).ByAccount {
		heard += use.TokensPerSecond
	}
	s.mu.Lock()
	for _, r := range s.records {
		recorded += r.TokensPerSecond
		in.InFlight += r.InFlight[svc.Name]
	}
	s.mu.Unlock()
	in.PrefillPerSecond = uncachedShare * max(heard, recorded)
	return in
}

// inFlight returns the requests at backend servers through this instance, by service.
func (s *Site) inFlight() map[string]int {
	own := map[string]int{}
	for _, use := range s.routes.Use() {
		own[use.Backend] = use.InFlight
	}
	inFlight := map[string]int{}
	for _, server := range s.backends() {
		if own[server.ID] > 0 {
			inFlight[server.Service] += own[server.ID]
		}
	}
	return inFlight
}

// tokensPerSecond returns what client accounts ask for through this instance.
func (s *Site) tokensPerSecond(now time.Time) (total float64) {
	for _, use := range s.admission.Use(now) {
		total += use.TokensPerSecond
	}
	return total
}

// contacts notes which outside services answer, and writes a line when that changes.
type contacts struct {
	mu   sync.Mutex
	lost map[string]time.Time
}

func (c *contacts) note(log *logrus.Entry, name string, err error) {
	c.mu.Lock()
	since, lost := c.lost[name]
	switch {
	case err != nil && !lost:
		if c.lost == nil {
			c.lost = map[string]time.Time{}
		}
		c.lost[name] = clock.Boot()
	case err == nil && lost:
		delete(c.lost, name)
	}
	c.mu.Unlock()
	switch {
	case err != nil && !lost:
		log.WithError(err).WithField("dependency", name).Warn("site: dependency lost")
	case err == nil && lost:
		log.WithFields(logrus.Fields{"dependency": name, "after_ms": clock.Boot().Sub(since).Milliseconds()}).
			Info("site: dependency regained")
	}
}
