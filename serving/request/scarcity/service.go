package scarcity

import (
	"time"

	"github.com/hashicorp/golang-lru/v2/simplelru"
)

const (
	// overloadedAbove and recoveredBelow are the shares of late requests at which a service
	// becomes overloaded and recovers. The gap between them prevents flapping.
	overloadedAbove = 1.0 / 3
	recoveredBelow  = 1.0 / 6
	// latePeriod is the time constant of the share of late requests.
	latePeriod = time.Second
	// minRequests is the smoothed number of requests below which a service is not overloaded: a
	// single late request is no sign of load.
	minRequests = 1.5
	// lateTTL is how long a late request of a rank causes less urgent ones to be refused.
	lateTTL = time.Second
	// presenceTTL is how long a rank or an account counts as present after its last request.
	presenceTTL = 5 * time.Second
	// accountPeriod is the time constant of the tokens charged to accounts.
	accountPeriod = 5 * time.Second
	// countPeriod is the time between two counts of the present accounts. Counting 1,024 accounts
	// takes 34 us.
	countPeriod = 100 * time.Millisecond
	// fairFactor is the multiple of its even share above which an account is refused.
	fairFactor = 2
	// earlyRetryWeight is the weight of a request whose caller retried too early.
	earlyRetryWeight = 3
	// floorRefusals is the number of consecutive refusals after which one request of a rank or an
	// account is admitted, so that at least one in ten is.
	floorRefusals = 9
)

// decayed is an exponentially decaying sum.
type decayed struct {
	sum float64
	at  time.Time
}

// value returns the sum as of now.
func (d *decayed) value(now time.Time, period time.Duration) float64 {
	return d.sum * decayFactor(now.Sub(d.at), period)
}

// add adds an amount, which may be negative. The sum does not fall below 0, because a refunded
// amount may have decayed already.
func (d *decayed) add(now time.Time, period time.Duration, amount float64) {
	d.sum, d.at = max(d.value(now, period)+amount, 0), now
}

// rank holds the demand of one rank.
type rank struct {
	// lateAt is when a request of the rank was last delayed beyond its target by other requests.
	seenAt, lateAt time.Time
	// refused counts the consecutive refusals, without those for a deadline.
	refused int
}

// account holds the demand of a client account.
type account struct {
	seenAt  time.Time
	tokens  decayed
	refused int
}

// service holds the demand for one service.
type service struct {
	ranks    [Ranks]rank
	accounts *simplelru.LRU[string, *account]
	// present is the number of present accounts among the counted ones, as of countedAt.
	present, counted int
	countedAt        time.Time
	// requests and late count all requests and those delayed beyond their target by others.
	requests, late decayed
	overloaded     bool
	// taken is the sum of the tokens charged to all accounts, and served the prompt tokens of
	// requests whose response began, counted since servedFrom.
	taken, served decayed
	servedFrom    time.Time
	// reservedUntil is the time up to which the capacity for retries is reserved.
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

// recordRequest counts a request. An early retry is not new demand; counting it would keep the
// service overloaded.
func (s *service) recordRequest(now time.Time, ask *Request, a *account, repeat bool) {
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

// isOverloaded reports whether the service is overloaded, with hysteresis relative to its last
// state.
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

// decide applies the rules in order: deadline, fair share, rank, floor.
func (s *service) decide(now time.Time, ask *Request, a *account) Reason {
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

// compete returns OverFairShare or Outranked if a request that meets its deadline has to be refused in
// favour of others, and Served otherwise.
func (s *service) compete(now time.Time, ask *Request, a *account) Reason {
	if !s.overloaded || !ask.missesTarget() {
		return Served
	}
	if a.tokens.value(now, accountPeriod) > fairFactor*s.evenShare(now) {
		return OverFairShare
	}
	for i := range ask.Rank {
		if within(now, s.ranks[i].lateAt, lateTTL) {
			return Outranked
		}
	}
	return Served
}

// evenShare returns the charged tokens divided by the number of present accounts.
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

// chargeAccount charges the tokens of an admitted request to its account.
func (s *service) chargeAccount(now time.Time, ask *Request, a *account, repeat bool) {
	weight := 1.0
	if repeat {
		weight = earlyRetryWeight
	}
	a.tokens.add(now, accountPeriod, weight*float64(ask.Tokens))
	s.taken.add(now, accountPeriod, weight*float64(ask.Tokens))
}

// within reports whether moment is set and at most period before now.
func within(now, moment time.Time, period time.Duration) bool {
	return !moment.IsZero() && now.Sub(moment) <= period
}
