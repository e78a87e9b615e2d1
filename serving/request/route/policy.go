package route

import (
	"math/rand/v2"
	"sort"
	"time"

	"github.com/pkg/errors"
)

// Names of the policies.
const (
	Papayaport    = "papayaport"
	RoundRobin    = "round_robin"
	LeastInFlight = "least_in_flight"
	PrefixHash    = "prefix_hash"
)

// Policy picks one of the candidates of a request.
type Policy interface {
	// Pick returns the index of the chosen candidate. The slice is never empty, and holds
	// the cheapest servers first.
	Pick(candidates []Candidate, request *Request, random *rand.Rand) int
}

// Candidate is a backend server that may take the request, with its estimates.
type Candidate struct {
	backend *backend
	// InFlight is the estimated number of requests at the server, waiting ones included.
	InFlight int
	// CachedTokens is the number of prompt tokens expected in the server's cache.
	CachedTokens int
	// FirstToken is the estimated time to the first token at the wanted quantile.
	FirstToken time.Duration
	mean       time.Duration
	ahead      ahead
	// Work is the share of the server that its requests take; see work.
	Work float64
	// BetweenTokens is the estimated time between tokens.
	BetweenTokens time.Duration
	// Cost is the price of the instance time taken, in dollars.
	Cost float64
	// Rank orders the servers by rendezvous hash of the prompt's prefix; the largest is
	// the prefix's home. For a prompt without blocks it is 0, or random in a limited choice.
	Rank uint64
}

// parts switches the parts of the estimates, so that what each brings can be measured.
type parts struct {
	prefix    bool
	unsettled bool
	health    bool
}

// variant is one row of the table of policies.
type variant struct {
	policy func() Policy
	parts  parts
}

var allParts = parts{prefix: true, unsettled: true, health: true}

// variants maps every name to its policy. The names behind papayaport_no_ leave out one
// part of the papayaport policy and serve for comparison.
var variants = map[string]variant{
	Papayaport:                {func() Policy { return papayaport{home: true, price: true} }, allParts},
	RoundRobin:                {func() Policy { return &roundRobin{} }, allParts},
	LeastInFlight:             {func() Policy { return leastInFlight{} }, allParts},
	PrefixHash:                {func() Policy { return prefixHash{} }, allParts},
	Papayaport + "_no_home":   {func() Policy { return papayaport{price: true} }, allParts},
	Papayaport + "_no_price":  {func() Policy { return papayaport{home: true} }, allParts},
	Papayaport + "_no_prefix": {func() Policy { return papayaport{price: true} }, parts{unsettled: true, health: true}},
	Papayaport + "_no_unsettled": {
		func() Policy { return papayaport{home: true, price: true} },
		parts{prefix: true, health: true},
	},
	Papayaport + "_no_health": {
		func() Policy { return papayaport{home: true, price: true} },
		parts{prefix: true, unsettled: true},
	},
}

// Policies returns the names of all policies in order.
func Policies() []string {
	names := make([]string, 0, len(variants))
	for name := range variants {
		names = append(names, name)
	}
	sort.Strings(names)
	return names
}

// findVariant returns the policy of the given name.
func findVariant(name string) (variant, error) {
	v, ok := variants[name]
	if !ok {
		return variant{}, errors.Errorf("unknown routing policy %q, allowed are %v", name, Policies())
	}
	return v, nil
}
