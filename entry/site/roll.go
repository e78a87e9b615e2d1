package site

import (
	"context"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"

	"papayaport.dev/serving/process/clock"
	"papayaport.dev/serving/process/usage"
)

const (
	// rollPeriod is the interval between rounds of load queries to peers, and rollTurns the
	// number of rounds in which all peers are queried. So the load that the fleet is sized by
	// is at most two seconds old, half of a server's boot time.
	rollPeriod = 500 * time.Millisecond
	rollTurns  = 4
	// rollTimeout bounds the query to one peer. Peers in a region answer in milliseconds.
	rollTimeout = 300 * time.Millisecond
	// rollLife is how long the last report of a peer is used in place of its record.
	rollLife = 4 * time.Second
)

// roll is the report of an entry instance to the holder of the duties: its current load, by which
// the fleet is sized, and its usage counts, in case the instance ends before it writes them.
type roll struct {
	Instance        string                 `cbor:"1,keyasint"`
	Incarnation     uint64                 `cbor:"2,keyasint"`
	InFlight        map[string]int         `cbor:"3,keyasint,omitempty"`
	TokensPerSecond map[string]float64     `cbor:"4,keyasint,omitempty"`
	Usage           map[int64]usage.Counts `cbor:"5,keyasint,omitempty"`
}

// rolls holds the last report of each entry instance, by its id.
type rolls struct {
	mu    sync.Mutex
	heard map[string]heardRoll
	turn  int
}

type heardRoll struct {
	roll
	at time.Time
}

func (r *rolls) forget(instance string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.heard, instance)
}

func (s *Site) ownRoll(now time.Time) roll {
	return roll{
		Instance: s.set.Instance, Incarnation: s.incarnation(), InFlight: s.inFlight(),
		TokensPerSecond: s.intake.PerSecond(now), Usage: s.usage.Told(),
	}
}

// runRoll queries the load of the other entry instances while this one holds the duties.
func (s *Site) runRoll(ctx context.Context) error {
	return clock.Every(ctx, rollPeriod, func(ctx context.Context, _ time.Time) {
		if _, held := s.leases.Held(dutyLease); held {
			s.callRoll(ctx, false)
		}
	})
}

// callRoll queries the peers of the current round, or all peers, concurrently.
func (s *Site) callRoll(ctx context.Context, all bool) {
	s.hear(time.Now(), s.ownRoll(time.Now()))
	ctx, cancel := context.WithTimeout(ctx, rollTimeout)
	defer cancel()
	s.rolls.mu.Lock()
	s.rolls.turn++
	turn := s.rolls.turn
	s.rolls.mu.Unlock()
	var group errgroup.Group
	for i, address := range s.peerAddresses() {
		if !all && (i+turn)%rollTurns != 0 {
			continue
		}
		group.Go(func() error {
			answered, err := s.askPeer(ctx, address, query{Roll: true})
			if err != nil || answered.Roll == nil {
				s.part("duties").WithError(err).WithField("peer", address).Debug("duties: peer did not report its load")
				return nil
			}
			s.hear(time.Now(), *answered.Roll)
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
	seen := map[string]bool{s.set.AdvertisedPeers: true}
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

func (s *Site) hear(now time.Time, told roll) {
	s.told.Tell(told.Instance, told.Incarnation, told.Usage)
	s.rolls.mu.Lock()
	defer s.rolls.mu.Unlock()
	if s.rolls.heard == nil {
		s.rolls.heard = map[string]heardRoll{}
	}
	s.rolls.heard[told.Instance] = heardRoll{told, now}
}

// load sums up the load of a service over all entry instances: the requests in flight at its
// servers and the admitted tokens per second. For an instance without a report within rollLife
// its record is used.
func (s *Site) load(now time.Time, service string) (inFlight int, tokensPerSecond float64) {
	s.mu.Lock()
	records := s.records
	s.mu.Unlock()
	s.rolls.mu.Lock()
	defer s.rolls.mu.Unlock()
	fresh := map[string]bool{}
	for name, heard := range s.rolls.heard {
		if now.Sub(heard.at) < rollLife {
			fresh[name] = true
			inFlight += heard.InFlight[service]
			tokensPerSecond += heard.TokensPerSecond[service]
		}
	}
	for _, r := range records {
		if !fresh[r.instance] {
			inFlight += r.InFlight[service]
			tokensPerSecond += r.TokensPerSecond[service]
		}
	}
	return inFlight, tokensPerSecond
}
