package route

import (
	"math/rand/v2"
	"sort"
	"time"

	"github.com/pkg/errors"
)

// Names of the routing policies.
const (
	Papayaport    = "papayaport"
	RoundRobin    = "round_robin"
	LeastInFlight = "least_in_flight"
	PrefixHash    = "prefix_hash"
)

// Policy selects one of the candidates of a request.
type Policy interface {
	// Pick returns the index of the selected candidate. The slice is never empty and is sorted by
	// price, cheapest first.
	Pick(candidates []Candidate, request *Request, random *rand.Rand) int
}

// Candidate is a backend server that may run the request, with its estimates.
type Candidate struct {
	backend *backend
	// InFlight is the estimated number of requests at the server, including queued ones.
	InFlight int
	// CachedTokens is the number of prompt tokens expected in the server's cache.
	CachedTokens int
	// FirstToken is the estimated time to the first token at the target's quantile.
	FirstToken  time.Duration
	mean        time.Duration
	pendingWork pendingWork
	// Utilization is the share of the server's capacity in use; see utilization.
	Utilization float64
	// BetweenTokens is the estimated time between two tokens.
	BetweenTokens time.Duration
	// Cost is the price of the instance time that the request takes, in dollars.
	Cost float64
	// Rank orders the servers by rendezvous hash of the prompt's prefix; the server with the
	// highest rank is the prefix's home. For a prompt without blocks it is 0, or random when the
	// choice is limited to a subset.
	Rank uint64
}

// features enables the components of the estimates, so that the effect of each can be measured.
type features struct {
	prefix    bool
	unsettled bool
	health    bool
}

// variant is a named combination of a policy and the enabled features.
type variant struct {
	policy   func() Policy
	features features
}

var allFeatures = features{prefix: true, unsettled: true, health: true}

// variants maps every policy name to its definition. The names with the prefix papayaport_no_
// disable one component of the papayaport policy, for comparison.
var variants = map[string]variant{
	Papayaport:                {func() Policy { return papayaport{home: true, price: true} }, allFeatures},
	RoundRobin:                {func() Policy { return &roundRobin{} }, allFeatures},
	LeastInFlight:             {func() Policy { return leastInFlight{} }, allFeatures},
	PrefixHash:                {func() Policy { return prefixHash{} }, allFeatures},
	Papayaport + "_no_home":   {func() Policy { return papayaport{price: true} }, allFeatures},
	Papayaport + "_no_price":  {func() Policy { return papayaport{home: true} }, allFeatures},
	Papayaport + "_no_prefix": {func() Policy { return papayaport{price: true} }, features{unsettled: true, health: true}},
	Papayaport + "_no_unsettled": {
		func() Policy { return papayaport{home: true, price: true} },
		features{prefix: true, health: true},
	},
	Papayaport + "_no_health": {
		func() Policy { return papayaport{home: true, price: true} },
		features{prefix: true, unsettled: true},
	},
}

// Policies returns the names of all policies in alphabetical order.
func Policies() []string {
	names := make([]string, 0, len(variants))
	for name := range variants {
		names = append(names, name)
	}
	sort.Strings(names)
	return names
}

// findVariant returns the variant with the given name.
func findVariant(name string) (variant, error) {
	v, ok := variants[name]
	if !ok {
		return variant{}, errors.Errorf("unknown routing policy %q, allowed are %v", name, Policies())
	}
	return v, nil
}
