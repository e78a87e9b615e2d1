package site

import (
	"context"
	"slices"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"

	"papayaport.dev/serving/process/clock"
	"papayaport.dev/serving/process/usage"
)

const (
	// loadQueryPeriod is the interval between rounds of load queries to peers, and
	// loadQueryRounds the number of rounds in which all peers are queried. So the load that the
	// fleet is sized by is at most two seconds old, half of a server's boot time.
	loadQueryPeriod = 500 * time.Millisecond
	loadQueryRounds = 4
	// loadQueryTimeout bounds the query to one peer. Peers in a region answer in milliseconds.
	loadQueryTimeout = 300 * time.Millisecond
	// loadReportTTL is how long the last report of a peer is used in place of its record.
	loadReportTTL = 4 * time.Second
)

// loadReport is the report of an entry instance to the holder of the duties: its current load,
// by which the fleet is sized, and its usage counts, in case the instance ends before it writes
// them.
type loadReport struct {
	Instance        string                 `cbor:"1,keyasint"`
	Incarnation     uint64                 `cbor:"2,keyasint"`
	InFlight        map[string]int         `cbor:"3,keyasint,omitempty"`
	TokensPerSecond map[string]float64     `cbor:"4,keyasint,omitempty"`
	Usage           map[int64]usage.Counts `cbor:"5,keyasint,omitempty"`
	PrefillRates    map[string]float64     `cbor:"6,keyasint,omitempty"`
	FixedSums       map[int64]usage.Counts `cbor:"7,keyasint,omitempty"`
}

// loadReports holds the last report of each entry instance, by its id.
type loadReports struct {
	mu       sync.Mutex
	received map[string]receivedLoadReport
	round    int
}

type receivedLoadReport struct {
	loadReport
	at time.Time
}

func (r *loadReports) forget(instance string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.received, instance)
}

func (s *Site) ownLoadReport(now time.Time) loadReport {
	return loadReport{
		Instance: s.settings.Instance, Incarnation: s.incarnation(), InFlight: s.inFlight(),
		TokensPerSecond: s.intake.PerSecond(now), Usage: s.usage.Recent(), PrefillRates: s.prefillRates(),
	}
}

// prefillRates returns the prefill rates of a server that this instance learned, by service.
func (s *Site) prefillRates() map[string]float64 {
	version := s.keeper.Current()
	if version == nil {
		return nil
	}
	rates := map[string]float64{}
	for _, svc := range version.Services {
		if rate, known := s.routes.PrefillRate(svc.Name); known && svc.Engine != nil {
			rates[svc.Name] = rate
		}
	}
	return rates
}

// runLoadQueries queries the load of the other entry instances while this one holds the duties.
func (s *Site) runLoadQueries(ctx context.Context) error {
	return clock.Every(ctx, loadQueryPeriod, func(ctx context.Context, _ time.Time) {
		if _, held := s.leases.Held(dutyLease); held {
			s.queryLoads(ctx, false)
		}
	})
}

// queryLoads queries the peers of the current round, or all peers and with the fixed sums that they
// know, concurrently.
func (s *Site) queryLoads(ctx context.Context, all bool) {
	s.storeLoadReport(time.Now(), s.ownLoadReport(time.Now()))
	ctx, cancel := context.WithTimeout(ctx, loadQueryTimeout)
	defer cancel()
	s.loadReports.mu.Lock()
	s.loadReports.round++
	turn := s.loadReports.round
	s.loadReports.mu.Unlock()
	var group errgroup.Group
	for i, address := range s.peerAddresses() {
		if !all && (i+turn)%loadQueryRounds != 0 {
			continue
		}
		group.Go(func() error {
			response, err := s.queryPeer(ctx, address, query{Load: true, FixedSums: all})
			if err != nil || response.Load == nil {
				s.logger("duties").WithError(err).WithField("peer", address).Debug("duties: peer did not report its load")
				return nil
			}
			s.storeLoadReport(time.Now(), *response.Load)
			return nil
		})
	}
	// Failures were logged above.
	_ = group.Wait()
}

// peerAddresses returns the addresses of the other entry instances, from the store and from the
// membership.
func (s *Site) peerAddresses() []string {
	s.mu.Lock()
	records := s.records
	s.mu.Unlock()
	seen := map[string]bool{s.settings.AdvertisedPeers: true}
	var addresses []string
	add := func(address string) {
		if !seen[address] {
			seen[address] = true
			addresses = append(addresses, address)
		}
	}
	for _, r := range records {
		add(r.PeerAddress)
	}
	for _, member := range s.members.Live(time.Now()) {
		add(member.PeerAddress)
	}
	return addresses
}

func (s *Site) storeLoadReport(now time.Time, report loadReport) {
	s.usageReports.Record(report.Instance, report.Incarnation, report.Usage)
	s.addFixedSums(report.FixedSums)
	report.FixedSums = nil
	s.loadReports.mu.Lock()
	defer s.loadReports.mu.Unlock()
	if s.loadReports.received == nil {
		s.loadReports.received = map[string]receivedLoadReport{}
	}
	s.loadReports.received[report.Instance] = receivedLoadReport{report, now}
}

// serviceLoad is the load of a service over all entry instances.
type serviceLoad struct {
	// inFlight is the number of requests in flight at the service's servers.
	inFlight int
	// tokensPerSecond is the rate of admitted tokens.
	tokensPerSecond float64
	// prefillRate is the median of the prefill rates that instances learned, in tokens per second
	// and server; 0 while no instance has learned one.
	prefillRate float64
}

// load sums up the load of a service over all entry instances. For an instance without a report
// within loadReportTTL its record is used.
func (s *Site) load(now time.Time, service string) serviceLoad {
	s.mu.Lock()
	records := s.records
	s.mu.Unlock()
	s.loadReports.mu.Lock()
	defer s.loadReports.mu.Unlock()
	var sum serviceLoad
	var rates []float64
	fresh := map[string]bool{}
	for name, received := range s.loadReports.received {
		if now.Sub(received.at) < loadReportTTL {
			fresh[name] = true
			sum.inFlight += received.InFlight[service]
			sum.tokensPerSecond += received.TokensPerSecond[service]
			if rate := received.PrefillRates[service]; rate > 0 {
				rates = append(rates, rate)
			}
		}
	}
	for _, r := range records {
		if fresh[r.instance] {
			continue
		}
		sum.inFlight += r.InFlight[service]
		sum.tokensPerSecond += r.TokensPerSecond[service]
		if rate := r.PrefillRates[service]; rate > 0 {
			rates = append(rates, rate)
		}
	}
	if len(rates) > 0 {
		slices.Sort(rates)
		sum.prefillRate = rates[len(rates)/2]
	}
	return sum
}
