package scarcity

import (
	"time"

	"github.com/hashicorp/golang-lru/v2/simplelru"
)

const (
	// overloadedAbove and calmBelow are the shares of late requests between which a service stays
	// as it is, so that a load at the edge does not switch the rules on and off.
	overloadedAbove = 1.0 / 3
	recoveredBelow    = 1.0 / 6
	// latePeriod is the time constant of the share of late requests.
	latePeriod = time.Second
	// minRequests is the smoothed number of requests below which a service is not crowded: a
	// single late request tells of no load.
	minRequests = 1.5
	// lateTTL is how long a late request of a rank makes less urgent ones give way.
	lateTTL = time.Second
	// presenceTTL is how long a rank or an account counts as present.
	presenceTTL = 5 * time.Second
	// accountPeriod is the time constant of what accounts took.
	accountPeriod = 5 * time.Second
	// countPeriod is the time between two counts of the accounts that are present; a count of
	// 1,024 takes 34 us.
	countPeriod = 100 * time.Millisecond
	// fairFactor is the multiple of its even share beyond which an account gives way.
	fairFactor = 2
	// earlyRetryWeight is how often a request counts whose caller came back too early.
	earlyRetryWeight = 3
	// floorRefusals is the number of refusals in a row behind which a rank or an account gets one
	// request admitted, so that one in ten is.
	floorRefusals = 9
)

// decayed is a sum whose parts fade with time.
type decayed struct {
	sum float64
	at  time.Time
}

// value returns the sum at a moment.
func (d *decayed) value(now time.Time, period time.Duration) float64 {
	return d.sum * decayFactor(now.Sub(d.at), period)
}

// add adds an amount. The sum stays at 0 at least, because what is given back may have faded.
func (d *decayed) add(now time.Time, period time.Duration, amount float64) {
	d.sum, d.at = max(d.value(now, period)+amount, 0), now
}

// rank is the demand of one rank.
type rank struct {
	// lateAt is when a request of the rank was late behind others' work.
	seenAt, lateAt time.Time
	// refused counts the refusals in a row that are not for a deadline.
	refused int
}

// account is the demand of a client account.
type account struct {
	seenAt  time.Time
	tokens  decayed
	refused int
}

// service is the demand for one service.
type service struct {
	ranks    [Ranks]rank
	accounts *simplelru.LRU[string, *account]
	// present is the number of accounts that are present, of counted ones at countedAt.
	present, counted int
	countedAt        time.Time
	// requests and late count all requests and those late behind others' work.
	requests, late decayed
	overloaded        bool
	// taken is the sum of what the accounts took, and served the prompt tokens of requests whose
	// answer began, counted from servedFrom on.
	taken, served decayed
	servedFrom    time.Time
	// reservedUntil is the moment up to which returns of refused requests fill the capacity.
	reservedUntil time.Time
}

func newService() *service {
	accounts, err := simplelru.NewLRU[string, *account](maxAccounts, nil)
	must(err)
	return &service{accounts: accounts}
}

func (s *service) account(name string) *account {
	if a, known := s.accounts.Get(name); known {
		return a
	}
	a := &account{}
	s.accounts.Add(name, a)
	return a
}

// recordRequest counts a request. One that came back too early is no new demand, and would otherwise
// keep a service crowded.
func (s *service) recordRequest(now time.Time, ask *Ask, a *account, repeat bool) {
	r := &s.ranks[ask.Rank]
	r.seenAt, a.seenAt = now, now
	if repeat {
		return
	}
	s.requests.add(now, latePeriod, 1)
	late := 0.0
	if ask.delayedByOthers() {
		late, r.lateAt = 1, now
	}
	s.late.add(now, latePeriod, late)
	s.overloaded = s.isOverloaded(now)
}

// isOverloaded tells whether the service is crowded at a moment, by what it was before.
func (s *service) isOverloaded(now time.Time) bool {
	requests := s.requests.value(now, latePeriod)
	if requests < minRequests {
		return false
	}
	share := s.late.value(now, latePeriod) / requests
	if s.overloaded {
		return share >= recoveredBelow
	}
	return share > overloadedAbove
}

// decide applies the rules in their order.
func (s *service) decide(now time.Time, ask *Ask, a *account) Reason {
	if ask.hopeless() {
		return Deadline
	}
	r := &s.ranks[ask.Rank]
	reason := s.compete(now, ask, a)
	if reason == Served {
		r.refused, a.refused = 0, 0
		return Served
	}
	if r.refused >= floorRefusals || a.refused >= floorRefusals {
		r.refused, a.refused = 0, 0
		return Floor
	}
	r.refused++
	a.refused++
	return reason
}

// compete tells whether a request that is in time for its caller gives way to others.
func (s *service) compete(now time.Time, ask *Ask, a *account) Reason {
	if !s.overloaded || !ask.missesTarget() {
		return Served
	}
	if a.tokens.value(now, accountPeriod) > fairFactor*s.evenShare(now) {
		return Share
	}
	for i := range ask.Rank {
		if within(now, s.ranks[i].lateAt, lateTTL) {
			return GivesWay
		}
	}
	return Served
}

// evenShare returns what each present account would have if all had taken the same.
func (s *service) evenShare(now time.Time) float64 {
	if s.counted != s.accounts.Len() || !within(now, s.countedAt, countPeriod) {
		s.countPresent(now)
	}
	return s.taken.value(now, accountPeriod) / float64(max(s.present, 1))
}

func (s *service) countPresent(now time.Time) {
	s.present, s.counted, s.countedAt = 0, s.accounts.Len(), now
	for _, a := range s.accounts.Values() {
		if within(now, a.seenAt, presenceTTL) {
			s.present++
		}
	}
}

// chargeAccount counts an admitted request against its account.
func (s *service) chargeAccount(now time.Time, ask *Ask, a *account, repeat bool) {
	weight := 1.0
	if repeat {
		weight = earlyRetryWeight
	}
	a.tokens.add(now, accountPeriod, weight*float64(ask.Tokens))
	s.taken.add(now, accountPeriod, weight*float64(ask.Tokens))
}

// within tells whether a moment is known and at most a time ago.
func within(now, moment time.Time, period time.Duration) bool {
	return !moment.IsZero() && now.Sub(moment) <= period
}
