package site

import (
	"context"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"golang.org/x/sync/errgroup"

	"papayaport.dev/serving/process/clock"
	"papayaport.dev/serving/process/membership"
	"papayaport.dev/serving/process/occupancy"
)

const (
	// occupancyTimeout bounds a call to a collector, so that the next one can be queried before
	// the sums held here expire.
	occupancyTimeout = 150 * time.Millisecond
	// exchangeSkipTime is how long after a message from another collector this one does not
	// call it, since one call exchanges the data of both sides. It is shorter than the period,
	// so that clock skew does not make a collector skip a round.
	exchangeSkipTime = 150 * time.Millisecond
	// collectorSelectionPeriod is the interval at which the collectors are selected: the
	// membership changes slowly, and the selection sorts all members.
	collectorSelectionPeriod = time.Second
	// minOccupancyFleet is the number of instances from which on occupancy is exchanged.
	minOccupancyFleet = 2
	// choiceWidth is the number of candidate servers for a prompt: enough to avoid a slow or
	// full one, and few enough that instances with the same sums do not all choose the same one.
	choiceWidth = 4
)

// occupancyExchange is the exchange of the load at backend servers between entry instances.
// Collectors sum up the parts that the other instances of their failure domain report, and
// exchange these parts with each other.
type occupancyExchange struct {
	reporter  *occupancy.Reporter
	collector *occupancy.Collector
	// unreachable holds collectors that recently failed to answer in time. Other queries with
	// longer timeouts may still reach them.
	unreachable unreachablePeers

	// mu guards lastExchange, the time of the last message of each other collector, by peer
	// address. Nothing is locked under it.
	mu           sync.Mutex
	lastExchange map[string]time.Time
	// exchanged is when the last round with the other collectors ended, in nanoseconds of
	// clock.Boot. Before the first round the sums lack most instances.
	exchanged atomic.Int64
	// exchanging is set while a round with the other collectors is in progress.
	exchanging atomic.Bool
	// enabled is set when occupancy is exchanged at all.
	enabled atomic.Bool

	failures                    *metrics.Counter
	reports, exchanges, answers *metrics.Counter
}

func newOccupancyExchange(instance string, incarnation uint64, set *metrics.Set) *occupancyExchange {
	o := &occupancyExchange{
		reporter: occupancy.NewReporter(instance, incarnation), collector: occupancy.NewCollector(),
		lastExchange: map[string]time.Time{},
		failures:     set.NewCounter("papayaport_occupancy_lost_total"),
		reports:      set.NewCounter(`papayaport_occupancy_messages_total{kind="report"}`),
		exchanges:    set.NewCounter(`papayaport_occupancy_messages_total{kind="exchange"}`),
		answers:      set.NewCounter(`papayaport_occupancy_messages_total{kind="answer"}`),
	}
	set.NewGauge("papayaport_occupancy_age_seconds", func() float64 {
		if !o.enabled.Load() {
			return 0
		}
		return o.reporter.Age(clock.Boot()).Seconds()
	})
	return o
}

// complete reports whether the sums include the parts from the other collectors.
func (o *occupancyExchange) complete(now time.Time) bool {
	exchanged := o.exchanged.Load()
	return exchanged > 0 && now.UnixNano()-exchanged < int64(occupancy.TTL)
}

// recentlyExchanged reports whether another collector sent a message within exchangeSkipTime.
func (o *occupancyExchange) recentlyExchanged(now time.Time, address string) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	at, found := o.lastExchange[address]
	return found && now.Sub(at) < exchangeSkipTime
}

func (o *occupancyExchange) recordExchange(now time.Time, address string) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if address != "" {
		o.lastExchange[address] = now
	}
}

// collectors holds the instances that sum up the load of others.
type collectors struct {
	selectedAt time.Time
	// enabled is set when occupancy is exchanged at all.
	enabled bool
	// preferred holds the collectors of this failure domain in order of preference, others those
	// of all domains without this instance.
	preferred, others []membership.Member
	// isCollector is set when this instance is a collector.
	isCollector bool
}

// selectCollectors selects the collectors if some service has an engine: the instances that read the
// store for others in a large fleet, and the same ones in a small fleet, where all read it.
func (s *Site) selectCollectors(now time.Time) *collectors {
	c := &collectors{selectedAt: now, enabled: s.hasEngine() && s.entries() >= minOccupancyFleet}
	if !c.enabled {
		return c
	}
	self := s.self()
	domains := map[string][]membership.Member{self.FailureDomain: {self}}
	for _, member := range s.members.Reachable(time.Now()) {
		domains[member.FailureDomain] = append(domains[member.FailureDomain], member)
	}
	for domain, members := range domains {
		readers := readersOf(members)
		for _, reader := range readers {
			if reader.Instance == self.Instance {
				c.isCollector = true
				continue
			}
			c.others = append(c.others, reader)
		}
		if domain == self.FailureDomain {
			c.preferred = sortByRendezvous(append([]membership.Member{}, readers...), self.Instance)
		}
	}
	return c
}

// hasEngine reports whether the configuration has a service with an engine.
func (s *Site) hasEngine() bool {
	version := s.keeper.Current()
	if version == nil {
		return false
	}
	for _, svc := range version.Services {
		if svc.Engine != nil {
			return true
		}
	}
	return false
}

// runOccupancy reports this instance's load at backend servers and receives that of others.
func (s *Site) runOccupancy(ctx context.Context) error {
	// Random offset, so that instances that start together do not report in lockstep.
	if err := clock.Sleep(ctx, rand.N(occupancy.ReportInterval)); err != nil {
		return err
	}
	var round errgroup.Group
	defer func() { _ = round.Wait() }() // rounds return no error
	known := &collectors{}
	return clock.Every(ctx, occupancy.ReportInterval, func(ctx context.Context, _ time.Time) {
		now := clock.Boot()
		if now.Sub(known.selectedAt) >= collectorSelectionPeriod {
			known = s.selectCollectors(now)
			s.setChoiceWidth(known.enabled)
		}
		if known.enabled {
			s.occupancyRound(ctx, known, &round)
		}
	})
}

// setChoiceWidth limits the number of candidate servers for prompts while occupancy is exchanged.
func (s *Site) setChoiceWidth(runs bool) {
	s.occupancy.enabled.Store(runs)
	if runs {
		s.routes.SetSubsetSize(choiceWidth)
		return
	}
	s.routes.SetSubsetSize(0)
}

// occupancyRound makes one round: it reports to a collector, and exchanges the received parts if
// this instance is a collector.
func (s *Site) occupancyRound(ctx context.Context, known *collectors, round *errgroup.Group) {
	o := s.occupancy
	part := o.reporter.NextReport(s.routes.Occupancy(nil))
	now := clock.Boot()
	if known.isCollector {
		if err := o.collector.AddReport(now, part); err != nil {
			s.logger("occupancy").WithError(err).Error("occupancy: own load not added")
		}
	}
	direct := o.collector.DirectReports(now)
	if len(direct) > 0 && o.exchanging.CompareAndSwap(false, true) {
		// A slow collector must not delay this instance's own sums.
		round.Go(func() error {
			defer o.exchanging.Store(false)
			s.exchangeOccupancy(ctx, known.others, direct)
			return nil
		})
	}
	if !known.isCollector {
		s.reportOccupancy(ctx, known.preferred, part)
		return
	}
	if o.complete(now) {
		s.applyOccupancy(o.collector.Reply(now, part))
	}
}

// reportOccupancy reports to the collectors in order until one answers, and applies its sums.
func (s *Site) reportOccupancy(ctx context.Context, preferred []membership.Member, part occupancy.Report) {
	o := s.occupancy
	for _, collector := range preferred {
		if o.unreachable.isRecent(collector.PeerAddress) {
			continue
		}
		o.reports.Inc()
		reply, answered := s.callCollector(ctx, collector, occupancy.Message{Reports: []occupancy.Report{part}})
		if answered {
			s.applyOccupancy(reply)
			return
		}
		if ctx.Err() != nil {
			return
		}
	}
}

// callCollector calls a collector. If the call fails, the collector is skipped for unreachableTTL.
func (s *Site) callCollector(ctx context.Context, collector membership.Member, message occupancy.Message) (occupancy.Reply, bool) {
	limited, cancel := context.WithTimeout(ctx, occupancyTimeout)
	defer cancel()
	answered, err := s.queryPeer(limited, collector.PeerAddress, query{Occupancy: &message})
	if ctx.Err() != nil {
		return occupancy.Reply{}, false
	}
	if err != nil || answered.Occupancy == nil {
		s.occupancy.failures.Inc()
		s.occupancy.unreachable.add(collector.PeerAddress)
		s.logger("occupancy").WithError(err).WithField("peer", collector.Instance).Warn("occupancy: collector did not answer")
		return occupancy.Reply{}, false
	}
	return *answered.Occupancy, true
}

// applyOccupancy applies the sums of a reply to the routing table.
func (s *Site) applyOccupancy(reply occupancy.Reply) {
	now := clock.Boot()
	taken, err := s.occupancy.reporter.ApplyReply(now, reply)
	if err != nil {
		s.logger("occupancy").WithError(err).Warn("occupancy: sums not taken")
	}
	if !taken {
		return
	}
	others, made := s.occupancy.reporter.Others()
	s.routes.SetOccupancy(time.Now().Add(-now.Sub(made)), others)
}

// exchangeOccupancy sends the parts of the instances that report here to the other collectors,
// and receives theirs.
func (s *Site) exchangeOccupancy(ctx context.Context, others []membership.Member, direct []occupancy.Report) {
	o := s.occupancy
	message := occupancy.Message{Relayed: true, Reports: direct, From: s.settings.AdvertisedPeers}
	var group errgroup.Group
	for _, collector := range others {
		if o.unreachable.isRecent(collector.PeerAddress) || o.recentlyExchanged(clock.Boot(), collector.PeerAddress) {
			continue
		}
		group.Go(func() error {
			o.exchanges.Inc()
			reply, answered := s.callCollector(ctx, collector, message)
			if answered {
				o.recordExchange(clock.Boot(), collector.PeerAddress)
				s.addPassedParts(reply.Reports)
			}
			return nil
		})
	}
	// callCollector logs each failure.
	_ = group.Wait()
	o.exchanged.Store(clock.Boot().UnixNano())
}

func (s *Site) addPassedParts(parts []occupancy.Report) {
	if err := s.occupancy.collector.AddRelayed(clock.Boot(), parts); err != nil {
		s.logger("occupancy").WithError(err).Warn("occupancy: load from another collector not added")
	}
}

// handleOccupancy returns the sums to an instance, and the parts of the instances that report here
// to another collector.
func (s *Site) handleOccupancy(message occupancy.Message) *occupancy.Reply {
	o, now := s.occupancy, clock.Boot()
	o.answers.Inc()
	if message.Relayed {
		o.recordExchange(now, message.From)
		s.addPassedParts(message.Reports)
		return &occupancy.Reply{Reports: o.collector.DirectReports(now)}
	}
	if len(message.Reports) != 1 {
		return &occupancy.Reply{}
	}
	if err := o.collector.AddReport(now, message.Reports[0]); err != nil {
		s.logger("occupancy").WithError(err).Warn("occupancy: load of an instance not added")
		return &occupancy.Reply{}
	}
	if !o.complete(now) {
		return &occupancy.Reply{}
	}
	reply := o.collector.Reply(now, message.Reports[0])
	return &reply
}
