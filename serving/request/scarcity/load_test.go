package scarcity_test

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"papayaport.dev/serving/request/scarcity"
)

const (
	// stepTime is the step of the model, and speed the prompt tokens that one server reads per
	// second.
	stepTime = 10 * time.Millisecond
	speed    = 10_000
	// answerTokens is the length of every answer; answers take no time in the model.
	answerTokens = 200
)

// flow is a stream of identical requests that arrive at random.
type flow struct {
	account      string
	rank         int
	tokens       int
	target, left time.Duration
	// share is the offered work from from to to, as a share of the capacity of all servers.
	share    float64
	from, to time.Duration
}

// load is a service whose servers read prompts in order of arrival, and its callers.
type load struct {
	instances, servers int
	// lostAt is when half of the servers fail, with their queued work.
	lostAt time.Duration
	lasts  time.Duration
	flows  []flow
	// impatient is the share of callers that retry a refused request once immediately and only
	// then wait for the retry time; the others wait from the start.
	impatient float64
	// firstCome disables load shedding.
	firstCome bool
}

type call struct {
	flow
	id    uint64
	tries int
}

// result sums up the responses that callers received.
type result struct {
	// value is the sum of prompt tokens and ten times the answer tokens of responses within
	// their target, and a tenth of that for late ones, multiplied by the weight of the rank.
	value float64
	// asked and met count requests and those answered within their target, by account and rank.
	asked, met map[string]int
	refused    map[string]int
	// wrongly counts refusals of requests that would have met their target at the chosen server.
	// Some are unavoidable because of the margin of the estimates.
	wrongly int
	// offered is the work that arrived in each second, as a multiple of the capacity.
	offered []float64
}

// instance is an entry instance with its view of the servers.
type instance struct {
	table *scarcity.Table
	// free is this instance's estimate of when each server has finished its queued work.
	free []time.Duration
	// mean and deviation are the smoothed error of estimates and its mean absolute deviation, in
	// seconds, updated at each first event.
	mean, deviation float64
	open            []admitted
}

// admitted is a request that is answered, or whose caller disconnects, at a time.
type admitted struct {
	at       time.Duration
	ask      scarcity.Request
	answered bool
	// error is the error of the estimate in seconds.
	error float64
}

// margin returns the allowance that covers the error of 19 of 20 estimates, computed as in the
// routing table.
func (i *instance) margin() time.Duration {
	const spread = 1.645 * 1.2533
	return max(time.Duration((i.mean+spread*i.deviation)*float64(time.Second)), 0)
}

// end ends the requests that are answered or abandoned by now.
func (i *instance) end(now time.Duration) {
	const weight = 0.05
	waiting := i.open[:0]
	for _, a := range i.open {
		if a.at > now {
			waiting = append(waiting, a)
			continue
		}
		i.table.Done(start.Add(a.at), a.ask, a.answered)
		if a.answered {
			i.deviation += weight * (math.Abs(a.error-i.mean) - i.deviation)
			i.mean += weight * (a.error - i.mean)
		}
	}
	i.open = waiting
}

const (
	// viewPeriod and viewAge are the period and the minimum age of the state exchanged between
	// instances.
	viewPeriod = 200 * time.Millisecond
	viewAge    = 300 * time.Millisecond
	choices    = 4
	maxTries   = 6
)

// model simulates a load.
type model struct {
	load
	random  *rand.Rand
	all     []*instance
	free    []time.Duration
	history [][]time.Duration
	queue   map[int][]call
	result
}

func (l load) run(seed uint64) result {
	m := &model{load: l, random: rand.New(rand.NewPCG(seed, 1)), queue: map[int][]call{}, free: make([]time.Duration, l.servers)}
	m.result = result{asked: map[string]int{}, met: map[string]int{}, refused: map[string]int{}, offered: make([]float64, int(l.lasts/time.Second)+1)}
	for range l.instances {
		m.all = append(m.all, &instance{table: scarcity.New(m.random.Float64), free: make([]time.Duration, l.servers)})
	}
	id := uint64(0)
	for i := range int(l.lasts / stepTime) {
		now := time.Duration(i) * stepTime
		for _, f := range l.flows {
			work := f.share * float64(l.servers) * speed * stepTime.Seconds() / float64(f.tokens)
			for n := m.random.ExpFloat64(); now >= f.from && now < f.to && n < work; n += m.random.ExpFloat64() {
				id++
				m.asked[key(f)]++
				m.queue[i] = append(m.queue[i], call{flow: f, id: id})
			}
		}
		m.exchange(now)
		m.random.Shuffle(len(m.queue[i]), func(a, b int) { m.queue[i][a], m.queue[i][b] = m.queue[i][b], m.queue[i][a] })
		for _, c := range m.queue[i] {
			m.arrive(now, c)
		}
		delete(m.queue, i)
	}
	return m.result
}

func key(f flow) string { return fmt.Sprint(f.account, f.rank) }

// exchange updates the instances' view of the servers. A single instance has an exact view.
func (m *model) exchange(now time.Duration) {
	if now == m.lostAt && now > 0 {
		m.free = m.free[:m.servers/2]
	}
	for _, one := range m.all {
		one.end(now)
	}
	m.history = append(m.history, slices.Clone(m.free))
	if len(m.all) > 1 && now%viewPeriod != 0 {
		return
	}
	age := int(viewAge / stepTime)
	if len(m.all) == 1 {
		age = 0
	}
	for _, one := range m.all {
		one.free = slices.Clone(m.history[max(len(m.history)-1-age, 0)][:len(m.free)])
	}
}

// arrive submits one request to a random instance.
func (m *model) arrive(now time.Duration, c call) {
	m.offered[int(now/time.Second)] += float64(c.tokens) / speed / float64(m.servers)
	one := m.all[m.random.IntN(len(m.all))]
	at := m.random.IntN(len(m.free))
	for range choices - 1 {
		if other := m.random.IntN(len(m.free)); one.free[other] < one.free[at] {
			at = other
		}
	}
	usualRead := time.Duration(c.tokens) * time.Second / speed
	read := time.Duration(float64(usualRead) * slowness(m.random.Float64()))
	actual := max(m.free[at]-now, 0) + read
	mean := max(one.free[at]-now, 0) + usualRead
	verdict := scarcity.Verdict{Admitted: true}
	margin := one.margin()
	ask := scarcity.Request{
		Service: "s", Account: c.account, ID: c.id, Rank: c.rank, Tokens: c.tokens, TimeLeft: c.left, Target: c.target,
		FirstEvent: mean + margin, Margin: margin, QueueWait: mean - usualRead,
	}
	if !m.firstCome {
		verdict = one.table.Admit(start.Add(now), ask)
	}
	if !verdict.Admitted {
		m.refuse(now, c, verdict, actual <= c.target)
		return
	}
	if actual > c.left { // the caller disconnects before the first event, and the server drops the request
		one.open = append(one.open, admitted{at: now + c.left, ask: ask})
		return
	}
	one.open = append(one.open, admitted{now + actual, ask, true, (actual - mean).Seconds()})
	m.free[at] = now + actual
	one.free[at] = max(one.free[at], now) + usualRead
	if len(m.all) == 1 {
		one.free[at] = m.free[at]
	}
	value := float64(c.tokens+10*answerTokens) * []float64{4, 2, 1}[c.rank]
	if actual > c.target {
		m.value += value / 10
		return
	}
	m.met[key(c.flow)]++
	m.value += value
}

// slowness returns the factor by which a prompt takes longer to read than usual: 2.5 for one
// prompt in seven, with a mean of 1.
func slowness(draw float64) float64 {
	if draw < 1.0/7 {
		return 2.5
	}
	return 0.75
}

func (m *model) refuse(now time.Duration, c call, verdict scarcity.Verdict, capacity bool) {
	m.refused[key(c.flow)]++
	if capacity {
		m.wrongly++
	}
	c.tries++
	retryAfter := verdict.RetryAfter
	if c.tries == 1 && m.random.Float64() < m.impatient {
		retryAfter = stepTime
	}
	if c.tries < maxTries {
		step := int((now + retryAfter + stepTime - 1) / stepTime)
		m.queue[step] = append(m.queue[step], c)
	}
}

func (r result) share(flows ...string) float64 {
	asked, met := 0, 0
	for _, f := range flows {
		asked, met = asked+r.asked[f], met+r.met[f]
	}
	return float64(met) / float64(asked)
}

// usual returns a flow of short prompts over a whole run.
func usual(account string, rank int, share float64) flow {
	return flow{account: account, rank: rank, tokens: 2000, target: time.Second, left: 4 * time.Second, share: share, to: time.Hour}
}

// TestBurst guards against a second overload caused by retries of refused callers. Load: 20
// servers, half of their capacity, plus ten times the capacity for 5 s; a tenth of the callers
// retries once immediately.
func TestBurst(t *testing.T) {
	burst := usual("burst", 1, 10)
	burst.from, burst.to = 10*time.Second, 15*time.Second
	for name, test := range map[string]struct {
		instances   int
		leastInTime float64
	}{"one instance": {1, 0.5}, "64 instances": {64, 0.25}} {
		t.Run(name, func(t *testing.T) {
			got := load{instances: test.instances, servers: 20, lasts: 200 * time.Second, impatient: 0.1, flows: []flow{usual("a", 1, 0.5), burst}}.run(1)
			worst := 0.0
			for second := 15; second+5 <= 200; second++ {
				sum := 0.0
				for _, offered := range got.offered[second : second+5] {
					sum += offered
				}
				worst = max(worst, sum/5)
			}
			t.Logf("largest offered load in 5 s after the burst %.2f, in time %.2f of the burst, %.2f of the others", worst, got.share("burst1"), got.share("a1"))
			require.LessOrEqual(t, worst, 1.2)
			require.Greater(t, got.share("burst1"), test.leastInTime)
			require.Greater(t, got.share("a1"), 0.8)
		})
	}
}

// TestHotAccount guards against one account that takes the capacity from accounts within their
// share. Load: 20 servers, 20 accounts with 0.035 of the capacity each, one with twice the
// capacity, all of one rank.
func TestHotAccount(t *testing.T) {
	l := load{instances: 1, servers: 20, lasts: 30 * time.Second, flows: []flow{usual("hot", 1, 2)}}
	var others []string
	for i := range 20 {
		l.flows = append(l.flows, usual(fmt.Sprint("a", i, "-"), 1, 0.035))
		others = append(others, fmt.Sprint("a", i, "-1"))
	}
	got := l.run(2)
	l.firstCome = true
	before := l.run(2)
	t.Logf("others in time %.2f, first come %.2f; hot %.2f", got.share(others...), before.share(others...), got.share("hot1"))
	require.Greater(t, got.share(others...), 0.5)
	require.Less(t, before.share(others...), 0.1)
}

// TestLongAmongShort guards against long requests that delay short ones. Load: 20 servers, 0.6
// of the capacity in short prompts, 0.1 in prompts of 3 s, half of which have 2 s left.
func TestLongAmongShort(t *testing.T) {
	long := usual("long", 1, 0.05)
	long.tokens = 30_000
	hurried := long
	hurried.account, hurried.left = "hurried", 2*time.Second
	got := load{instances: 1, servers: 20, lasts: 30 * time.Second, flows: []flow{usual("a", 1, 0.6), long, hurried}}.run(3)
	t.Logf("short in time %.3f, refused %v of %v", got.share("a1"), got.refused, got.asked)
	require.Zero(t, got.refused["a1"])
	require.Zero(t, got.refused["long1"])
	require.GreaterOrEqual(t, got.refused["hurried1"], got.asked["hurried1"])
	require.Greater(t, got.share("a1"), 0.95)
}

// TestBelowTheCapacity guards against refusals while there is capacity, also with an old view of
// the servers and therefore wide margins. Load: 20 servers, three ranks with 0.25 of the
// capacity each.
func TestBelowTheCapacity(t *testing.T) {
	for _, instances := range []int{1, 8} {
		got := load{instances: instances, servers: 20, lasts: 60 * time.Second, flows: []flow{usual("a", 0, 0.25), usual("b", 1, 0.25), usual("c", 2, 0.25)}}.run(7)
		t.Logf("%d instances refused %v of %v", instances, got.refused, got.asked)
		require.Empty(t, got.refused)
	}
}

// TestThreeRanks compares the value with that of first come, first served. Load: 20 servers,
// three ranks with half of the capacity each.
func TestThreeRanks(t *testing.T) {
	l := load{instances: 1, servers: 20, lasts: 60 * time.Second, flows: []flow{usual("a", 0, 0.5), usual("b", 1, 0.5), usual("c", 2, 0.5)}}
	got := l.run(4)
	l.firstCome = true
	before := l.run(4)
	t.Logf("value %.2f of first come, in time by rank %.2f %.2f %.2f, refused wrongly %d", got.value/before.value, got.share("a0"), got.share("b1"), got.share("c2"), got.wrongly)
	require.Greater(t, got.value, 2*before.value)
	require.Greater(t, got.share("a0"), 0.8)
}

// TestLossOfHalfTheServers checks that urgent requests are served after servers fail. Load: 20
// servers, three ranks with 0.25 of the capacity each, and half of the servers fail at 10 s.
func TestLossOfHalfTheServers(t *testing.T) {
	l := load{instances: 1, servers: 20, lostAt: 10 * time.Second, lasts: 60 * time.Second, flows: []flow{usual("a", 0, 0.25), usual("b", 1, 0.25), usual("c", 2, 0.25)}}
	got := l.run(5)
	l.firstCome = true
	before := l.run(5)
	t.Logf("value %.2f of first come, in time by rank %.2f %.2f %.2f", got.value/before.value, got.share("a0"), got.share("b1"), got.share("c2"))
	require.Greater(t, got.share("a0"), 0.8)
	require.Greater(t, got.value, 1.5*before.value)
}

// TestLocalDecisions compares 64 instances, whose view of the servers is 0.3 to 0.5 s old, with
// a single instance with an exact view. Load: 140 servers, the three ranks of TestThreeRanks.
func TestLocalDecisions(t *testing.T) {
	l := load{instances: 1, servers: 140, lasts: 30 * time.Second, flows: []flow{usual("a", 0, 0.5), usual("b", 1, 0.5), usual("c", 2, 0.5)}}
	global := l.run(6)
	l.instances = 64
	local := l.run(6)
	l.firstCome = true
	before := l.run(6)
	t.Logf("value of 64 instances %.3f of one, first come %.3f; in time by rank %.2f %.2f %.2f against %.2f %.2f %.2f, refused wrongly %d",
		local.value/global.value, before.value/global.value, local.share("a0"), local.share("b1"), local.share("c2"), global.share("a0"), global.share("b1"), global.share("c2"), local.wrongly)
	require.Greater(t, local.value, 0.6*global.value)
	require.Greater(t, local.value, 2*before.value)
}
