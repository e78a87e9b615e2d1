package load

import (
	"math/rand/v2"
	"slices"
	"sort"
	"time"

	"github.com/pkg/errors"

	wire "papayaport.dev/serving/connection/engine"
	"papayaport.dev/standin/tenants"
)

// Plan describes the requests to generate.
type Plan struct {
	Tenant tenants.Tenant
	// Rate is the mean number of requests per second.
	Rate     float64
	Duration time.Duration
	Seed     uint64
}

// Shape generates the requests of one kind of workload.
type Shape interface {
	// Tenant returns the name of the tenant that sends such requests.
	Tenant() string
	// Arrivals returns the requests of a plan in the order of their times.
	Arrivals(plan Plan) []Arrival
}

// shapes holds all shapes by name.
var shapes = map[string]Shape{
	"filings": filings{},
	"chats":   chats{},
}

// Shapes returns the names of all shapes in alphabetical order.
func Shapes() []string {
	names := make([]string, 0, len(shapes))
	for name := range shapes {
		names = append(names, name)
	}
	sort.Strings(names)
	return names
}

// Get returns a shape by name.
func Get(name string) (Shape, error) {
	shape, known := shapes[name]
	if !known {
		return nil, errors.Errorf("shape %q is unknown, allowed are %v", name, Shapes())
	}
	return shape, nil
}

// accountShares are the fractions of the requests that the tenant's first accounts send.
var accountShares = []float64{0.4, 0.3, 0.1, 0.1, 0.1}

// pickAccount returns a random account according to accountShares.
func pickAccount(random *rand.Rand, accounts []string) string {
	at := random.Float64()
	for i, share := range accountShares {
		if at < share && i < len(accounts) {
			return accounts[i]
		}
		at -= share
	}
	return accounts[0]
}

// times returns the event times of a Poisson process with a rate per second.
func times(random *rand.Rand, rate float64, duration time.Duration) []time.Duration {
	var out []time.Duration
	for at := seconds(random.ExpFloat64() / rate); at < duration; at += seconds(random.ExpFloat64() / rate) {
		out = append(out, at)
	}
	return out
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

// sortArrivals returns the arrivals before the end of the duration, in the order of their times.
func sortArrivals(arrivals []Arrival, duration time.Duration) []Arrival {
	arrivals = slices.DeleteFunc(arrivals, func(a Arrival) bool { return a.At >= duration })
	slices.SortStableFunc(arrivals, func(a, b Arrival) int { return int(a.At - b.At) })
	return arrivals
}

func userMessage(content string) wire.Message { return wire.Message{Role: "user", Content: content} }
