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
	minFilingWords     = 1200 // words
	maxFilingWords     = 3600 // words
	minClaims          = 2
	maxClaims          = 6
	claimGap           = 1500 * time.Millisecond
	filingAnswerTokens = 48 // tokens
)

// filings generates the load of a fact-check desk: long court filings, each the subject of several
// requests from one newsroom within a few seconds.
type filings struct{}

// Tenant implements Shape.
func (filings) Tenant() string { return tenants.Villarreal }

// Arrivals implements Shape.
func (filings) Arrivals(plan Plan) []Arrival {
	random := rand.New(rand.NewPCG(plan.Seed, 11))
	rate := plan.Rate / (float64(minClaims+maxClaims) / 2)
	var arrivals []Arrival
	for _, at := range times(random, rate, plan.Duration) {
		filing := text.Filing(random.Uint64(), minFilingWords+random.IntN(maxFilingWords-minFilingWords))
		account := pickAccount(random, plan.Tenant.Accounts)
		for range minClaims + random.IntN(maxClaims-minClaims+1) {
			arrivals = append(arrivals, Arrival{
				At: at, Account: account, MaxTokens: filingAnswerTokens,
				Messages: []wire.Message{userMessage(filing + text.Claim(random.Uint64()))},
			})
			at += claimGap/2 + time.Duration(random.ExpFloat64()*float64(claimGap)/2)
		}
	}
	return sortArrivals(arrivals, plan.Duration)
}
