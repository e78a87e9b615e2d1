package load

import (
	"math/rand/v2"
	"time"

	wire "papayaport.dev/serving/connection/engine"
	"papayaport.dev/standin/tenants"
	"papayaport.dev/standin/text"
)

// Sizes of the filings shape.
const (
	shortestFiling = 1200 // words
	longestFiling  = 3600 // words
	fewestClaims   = 2
	mostClaims     = 6
	claimGap       = 1500 * time.Millisecond
	filingAnswer   = 48 // tokens
)

// filings generates the load of a fact-check desk: long court filings, each the subject of several
// requests from one newsroom within a few seconds.
type filings struct{}

// Tenant implements Shape.
func (filings) Tenant() string { return tenants.Villarreal }

// Arrivals implements Shape.
func (filings) Arrivals(plan Plan) []Arrival {
	random := rand.New(rand.NewPCG(plan.Seed, 11))
	rate := plan.Rate / (float64(fewestClaims+mostClaims) / 2)
	var arrivals []Arrival
	for _, at := range times(random, rate, plan.Duration) {
		filing := text.Filing(random.Uint64(), shortestFiling+random.IntN(longestFiling-shortestFiling))
		account := pickAccount(random, plan.Tenant.Accounts)
		for range fewestClaims + random.IntN(mostClaims-fewestClaims+1) {
			arrivals = append(arrivals, Arrival{
				At: at, Account: account, MaxTokens: filingAnswer,
				Messages: []wire.Message{user(filing + text.Claim(random.Uint64()))},
			})
			at += claimGap/2 + time.Duration(random.ExpFloat64()*float64(claimGap)/2)
		}
	}
	return ordered(arrivals, plan.Duration)
}
