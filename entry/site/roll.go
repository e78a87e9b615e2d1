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
	// rollPeriod is the time between two rounds of questions to peers, and rollTurns the
	// number of rounds in which all of them are asked, so that the load that sizes the fleet
	// is two seconds old at most, half of a server's boot time.
	rollPeriod = 500 * time.Millisecond
	rollTurns  = 4
	// rollTimeout bounds the answer of one peer; peers of a region answer in milliseconds.
	rollTimeout = 300 * time.Millisecond
	// rollLife is how long the last word of a peer counts before its record counts again.
	rollLife = 4 * time.Second
)

// roll is what an entry instance tells the holder of the duties: its load of the moment,
// which sizes the fleet, and its counts, for the case that it does not get to write them.
type roll struct {
	Instance        string                 `cbor:"1,keyasint"`
	Incarnation     uint64                 `cbor:"2,keyasint"`
	InFlight        map[string]int         `cbor:"3,keyasint,omitempty"`
	TokensPerSecond map[string]float64     `cbor:"4,keyasint,omitempty"`
	Usage           map[int64]usage.Counts `cbor:"5,keyasint,omitempty"`
}

// rolls holds the last word of each entry instance, by its name.
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

// runRoll asks the other entry instances while this one holds the duties.
func (s *Site) runRoll(ctx context.Context) error {
	return clock.Every(ctx, rollPeriod, func(ctx context.Context, _ time.Time) {
		if _, held := s.leases.Held(dutyLease); held {
			s.callRoll(ctx, false)
		}
	})
}

// callRoll asks the peers whose turn it is, or all of them, at once.
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
				s.part("duties").WithError(err).WithField("peer", address).Debug("duties: peer did not tell its load")
				return nil
			}
			s.hear(time.Now(), *answered.Roll)
			return nil
		})
	}
	// Every question ends with its own log line.
	_ = group.Wait()
}

// peerAddresses returns the addresses of the other entry instances, those that the store
// lists and those that peers know.
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

// load adds up the load of a service over all entry instances: requests at its servers,
// and the tokens a second that are taken in. Records stand in for instances
// that were not heard of late.
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
