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
	// occupancyTimeout bounds a call to a collector, so that the next one can be asked before
	// the sums held here expire.
	occupancyTimeout = 150 * time.Millisecond
	// heardOfLate is how long after a message of another collector this one does not call it:
	// both sides tell theirs in one call. It is below the period, so that one that always
	// calls does not wait for a clock that runs a little slower.
	heardOfLate = 150 * time.Millisecond
	// collectorsPeriod is the time between two looks at who the collectors are: the members
	// change slowly, and a look sorts all of them.
	collectorsPeriod = time.Second
	// choiceWidth is the number of servers among which a prompt is placed: enough to avoid a
	// slow or full one, and few enough that instances with the same sums do not converge.
	choiceWidth = 4
)

// occupied is the exchange of the work at backend servers.
type occupied struct {
	reporter  *occupancy.Reporter
	collector *occupancy.Collector
	// skipped holds collectors that did not answer of late. Others may still reach them with
	// questions that may take longer.
	skipped unreached

	// mu guards heard, the last message of each other collector by its peer address. Nothing
	// is locked under it.
	mu    sync.Mutex
	heard map[string]time.Time
	// exchanged is the nanosecond of clock.Boot at which the last round with the other
	// collectors ended; sums without one lack most instances.
	exchanged atomic.Int64
	// exchanging tells that a round with the other collectors is under way.
	exchanging atomic.Bool
	// runs tells whether occupancy is exchanged at all.
	runs atomic.Bool

	lost                        *metrics.Counter
	reports, exchanges, answers *metrics.Counter
}

func newOccupied(instance string, incarnation uint64, meters *metrics.Set) *occupied {
	o := &occupied{
		reporter: occupancy.NewReporter(instance, incarnation), collector: occupancy.NewCollector(),
		heard:     map[string]time.Time{},
		lost:      meters.NewCounter("papayaport_occupancy_lost_total"),
		reports:   meters.NewCounter(`papayaport_occupancy_messages_total{kind="report"}`),
		exchanges: meters.NewCounter(`papayaport_occupancy_messages_total{kind="exchange"}`),
		answers:   meters.NewCounter(`papayaport_occupancy_messages_total{kind="answer"}`),
	}
	meters.NewGauge("papayaport_occupancy_age_seconds", func() float64 {
		if !o.runs.Load() {
			return 0
		}
		return o.reporter.Age(clock.Boot()).Seconds()
	})
	return o
}

// complete tells whether the sums hold the parts of the other collectors.
func (o *occupied) complete(now time.Time) bool {
	exchanged := o.exchanged.Load()
	return exchanged > 0 && now.UnixNano()-exchanged < int64(occupancy.Life)
}

// heardLately tells whether another collector sent a message of late.
func (o *occupied) heardLately(now time.Time, address string) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	at, found := o.heard[address]
	return found && now.Sub(at) < heardOfLate
}

func (o *occupied) hear(now time.Time, address string) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if address != "" {
		o.heard[address] = now
	}
}

// collectors are the instances that add up the work of others.
type collectors struct {
	lookedAt time.Time
	// runs tells whether occupancy is exchanged at all.
	runs bool
	// asked holds those of this failure domain in the order in which they are asked, others
	// those of all domains without this instance.
	asked, others []membership.Member
	// isOne tells whether this instance is one.
	isOne bool
}

// lookAtCollectors tells who the collectors are: the instances that read the store for
// others, in fleets that have such, when some service has an engine.
func (s *Site) lookAtCollectors(now time.Time) *collectors {
	c := &collectors{lookedAt: now, runs: s.hasEngine() && s.entries() >= s.set.RelayedFrom}
	if !c.runs {
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
				c.isOne = true
				continue
			}
			c.others = append(c.others, reader)
		}
		if domain == self.FailureDomain {
			c.asked = rendezvous(append([]membership.Member{}, readers...), self.Instance)
		}
	}
	return c
}

// hasEngine tells whether the configuration has a service with an engine.
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

// runOccupancy reports this instance's work at backend servers and takes in that of others.
func (s *Site) runOccupancy(ctx context.Context) error {
	// Fleets that start together must not report in step.
	if err := clock.Sleep(ctx, rand.N(occupancy.Period)); err != nil {
		return err
	}
	var round errgroup.Group
	defer func() { _ = round.Wait() }() // rounds return no error
	known := &collectors{}
	return clock.Every(ctx, occupancy.Period, func(ctx context.Context, _ time.Time) {
		now := clock.Boot()
		if now.Sub(known.lookedAt) >= collectorsPeriod {
			known = s.lookAtCollectors(now)
			s.limitChoice(known.runs)
		}
		if known.runs {
			s.tellOccupancy(ctx, known, &round)
		}
	})
}

// limitChoice limits the choice of servers for prompts where occupancy is exchanged.
func (s *Site) limitChoice(runs bool) {
	s.occupied.runs.Store(runs)
	if runs {
		s.routes.SetWidth(choiceWidth)
		return
	}
	s.routes.SetWidth(0)
}

// tellOccupancy is one round: the report, and the exchange when this instance collects.
func (s *Site) tellOccupancy(ctx context.Context, known *collectors, round *errgroup.Group) {
	o := s.occupied
	part := o.reporter.Next(s.routes.Occupancy(nil))
	now := clock.Boot()
	if known.isOne {
		if err := o.collector.Report(now, part); err != nil {
			s.part("occupancy").WithError(err).Error("occupancy: own work not added")
		}
	}
	direct := o.collector.Direct(now)
	if len(direct) > 0 && o.exchanging.CompareAndSwap(false, true) {
		// One that answers late must not hold up this instance's own sums.
		round.Go(func() error {
			defer o.exchanging.Store(false)
			s.exchangeOccupancy(ctx, known.others, direct)
			return nil
		})
	}
	if !known.isOne {
		s.reportOccupancy(ctx, known.asked, part)
		return
	}
	if o.complete(now) {
		s.takeOccupancy(o.collector.Reply(now, part))
	}
}

// reportOccupancy asks the first of the collectors that answers.
func (s *Site) reportOccupancy(ctx context.Context, asked []membership.Member, part occupancy.Part) {
	o := s.occupied
	for _, collector := range asked {
		if o.skipped.lately(collector.PeerAddress) {
			continue
		}
		o.reports.Inc()
		reply, answered := s.askCollector(ctx, collector, occupancy.Message{Parts: []occupancy.Part{part}})
		if answered {
			s.takeOccupancy(reply)
			return
		}
		if ctx.Err() != nil {
			return
		}
	}
}

// askCollector makes one call to a collector. One that does not answer is skipped for a while.
func (s *Site) askCollector(ctx context.Context, collector membership.Member, message occupancy.Message) (occupancy.Reply, bool) {
	limited, cancel := context.WithTimeout(ctx, occupancyTimeout)
	defer cancel()
	answered, err := s.askPeer(limited, collector.PeerAddress, query{Occupancy: &message})
	if ctx.Err() != nil {
		return occupancy.Reply{}, false
	}
	if err != nil || answered.Occupancy == nil {
		s.occupied.lost.Inc()
		s.occupied.skipped.note(collector.PeerAddress)
		s.part("occupancy").WithError(err).WithField("peer", collector.Instance).Warn("occupancy: collector did not answer")
		return occupancy.Reply{}, false
	}
	return *answered.Occupancy, true
}

// takeOccupancy puts sums into force.
func (s *Site) takeOccupancy(reply occupancy.Reply) {
	now := clock.Boot()
	taken, err := s.occupied.reporter.Take(now, reply)
	if err != nil {
		s.part("occupancy").WithError(err).Warn("occupancy: sums not taken")
	}
	if !taken {
		return
	}
	others, made := s.occupied.reporter.Others()
	s.routes.Occupied(time.Now().Add(-now.Sub(made)), others)
}

// exchangeOccupancy passes the parts of the instances that report here on to the other
// collectors, and takes in theirs.
func (s *Site) exchangeOccupancy(ctx context.Context, others []membership.Member, direct []occupancy.Part) {
	o := s.occupied
	message := occupancy.Message{Passed: true, Parts: direct, From: s.set.AdvertisedPeers}
	var group errgroup.Group
	for _, collector := range others {
		if o.skipped.lately(collector.PeerAddress) || o.heardLately(clock.Boot(), collector.PeerAddress) {
			continue
		}
		group.Go(func() error {
			o.exchanges.Inc()
			reply, answered := s.askCollector(ctx, collector, message)
			if answered {
				o.hear(clock.Boot(), collector.PeerAddress)
				s.takePassed(reply.Parts)
			}
			return nil
		})
	}
	// Every call that fails leaves its own log line.
	_ = group.Wait()
	o.exchanged.Store(clock.Boot().UnixNano())
}

func (s *Site) takePassed(parts []occupancy.Part) {
	if err := s.occupied.collector.Passed(clock.Boot(), parts); err != nil {
		s.part("occupancy").WithError(err).Warn("occupancy: work passed on by a collector not added")
	}
}

// answerOccupancy answers an instance with the sums, and a collector with the parts of the
// instances that report here.
func (s *Site) answerOccupancy(message occupancy.Message) *occupancy.Reply {
	o, now := s.occupied, clock.Boot()
	o.answers.Inc()
	if message.Passed {
		o.hear(now, message.From)
		s.takePassed(message.Parts)
		return &occupancy.Reply{Parts: o.collector.Direct(now)}
	}
	if len(message.Parts) != 1 {
		return &occupancy.Reply{}
	}
	if err := o.collector.Report(now, message.Parts[0]); err != nil {
		s.part("occupancy").WithError(err).Warn("occupancy: work of an instance not added")
		return &occupancy.Reply{}
	}
	if !o.complete(now) {
		return &occupancy.Reply{}
	}
	reply := o.collector.Reply(now, message.Parts[0])
	return &reply
}
