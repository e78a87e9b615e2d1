package quota_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"papayaport.dev/serving/request/quota"
)

// kindOfRequest is a part of an account's demand.
type kindOfRequest struct {
	rank   int
	tokens float64
	// perSecond is the usual number of requests.
	perSecond float64
}

// Kinds with the tokens and rates of a customer's specification: the least urgent kind uses
// most of the tokens.
var (
	note     = kindOfRequest{rank: 0, tokens: 1_600, perSecond: 67}
	summary  = kindOfRequest{rank: 1, tokens: 9_300, perSecond: 27}
	bulletin = kindOfRequest{rank: 2, tokens: 17_500, perSecond: 67}
	lookup   = kindOfRequest{rank: quota.Unranked, tokens: 200, perSecond: 56}
)

// playDemand sends requests of all kinds to one pool at a multiple of their usual rate, and
// returns the granted share of each kind's requests and the total of granted tokens.
func playDemand(t *testing.T, rate, times float64, seconds int, ranked bool) (granted map[kindOfRequest]float64, tokens float64) {
	const step = 10 * time.Millisecond
	random := rand.New(rand.NewPCG(1, 2))
	table := quota.New()
	table.SetEntries(start, 1)
	table.SetLimits(start, 1, []quota.Limit{{
		Account: account, PerSecond: quota.Amount{Tokens: rate}, Burst: quota.Amount{Tokens: rate}, MaxDebt: quota.Amount{Tokens: rate / 3},
	}})
	asked := map[kindOfRequest]float64{}
	granted = map[kindOfRequest]float64{}
	for at := time.Duration(0); at < time.Duration(seconds)*time.Second; at += step {
		now := start.Add(at)
		if at%quota.DepositPeriod(1) == 0 {
			table.Deposit(now, account, table.Withdraw(now, account))
		}
		for _, kind := range []kindOfRequest{note, summary, bulletin, lookup} {
			if random.Float64() >= times*kind.perSecond*step.Seconds() {
				continue
			}
			rank := quota.Unranked
			if ranked {
				rank = kind.rank
			}
			table.Deposit(now, account, table.Withdraw(now, account))
			decision, known := table.ChargeRanked(now, account, quota.Amount{Requests: 1, Tokens: kind.tokens}, rank)
			require.True(t, known)
			asked[kind]++
			if decision.Granted {
				granted[kind]++
				tokens += kind.tokens
			}
		}
	}
	for kind, count := range asked {
		granted[kind] /= count
	}
	return granted, tokens
}

// usualTokens returns the given fraction of the usual demand of all kinds, in tokens per
// second. The customers' specifications set limits of 1.8 times the usual demand.
func usualTokens(part float64) float64 {
	total := 0.0
	for _, kind := range []kindOfRequest{note, summary, bulletin, lookup} {
		total += part * kind.perSecond * kind.tokens
	}
	return total
}

// TestUrgentRequestsOfAHotAccount guards against an account whose long, least urgent prompts
// use up its limit, so that its urgent requests are refused. The load is three times the limit
// for 20 s; the urgent kinds alone demand three quarters of the limit.
func TestUrgentRequestsOfAHotAccount(t *testing.T) {
	const part, times, seconds = 0.1, 5.6, 20
	rate := 1.8 * usualTokens(part)
	before, _ := playDemand(t, rate, times*part, seconds, false)
	after, tokens := playDemand(t, rate, times*part, seconds, true)
	require.Less(t, before[note], 0.5, "without ranks all kinds are refused alike")
	require.Greater(t, after[note], 0.9)
	require.Greater(t, after[summary], 0.9)
	require.Greater(t, after[lookup], 0.9)
	require.Greater(t, after[bulletin], 0.05, "the least urgent kind has a floor")
	// The limit is used, and exceeded by at most the burst and the debt.
	require.Greater(t, tokens, 0.9*rate*seconds)
	require.LessOrEqual(t, tokens, rate*(seconds+1+1.0/3)+bulletin.tokens)
}

// TestLeastUrgentRequestsDoNotStarve guards against a rank that is always refused while more
// urgent ones demand the whole limit.
func TestLeastUrgentRequestsDoNotStarve(t *testing.T) {
	const part, times, seconds = 0.1, 100, 20
	granted, tokens := playDemand(t, 1.8*usualTokens(part), times*part, seconds, true)
	require.Greater(t, granted[note], 0.5, "the most urgent requests alone are within the limit")
	require.Greater(t, granted[bulletin]*times*part*bulletin.perSecond*seconds*bulletin.tokens, 0.02*tokens)
}

// TestAccountWithinItsLimitKeepsNoReserve guards against a reserve that causes refusals for an
// account within its limit.
func TestAccountWithinItsLimitKeepsNoReserve(t *testing.T) {
	const part, seconds = 0.1, 20
	rate := 1.8 * usualTokens(part)
	unranked, _ := playDemand(t, rate, part, seconds, false)
	ranked, _ := playDemand(t, rate, part, seconds, true)
	for _, kind := range []kindOfRequest{note, summary, bulletin, lookup} {
		require.GreaterOrEqual(t, ranked[kind], unranked[kind]-0.01, "rank %d", kind.rank)
	}
}
