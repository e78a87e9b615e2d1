// Package load sends the users' requests to papayaport at times that were fixed before
// the run, whether earlier ones were answered or not (open loop), checks every answer
// against the stand-in engine's undisturbed one, and reports times and outcomes.
//
// # Usage
//
//	shape, err := load.Get("filings")
//	arrivals := shape.Arrivals(load.Plan{Tenant: tenant, Rate: 12, Duration: 10 * time.Second, Seed: 1})
//	report := load.Run(ctx, load.Config{URL: "http://127.0.0.1:8000", Tenant: tenant}, arrivals)
//
// A plan with the same seed gives the same arrivals, texts and accounts.
package load

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"time"

	wire "papayaport.dev/serving/connection/engine"
	"papayaport.dev/standin/caller"
	"papayaport.dev/standin/engine"
	"papayaport.dev/standin/tenants"
)

// Arrival is one request at its time.
type Arrival struct {
	// At is the time since the start of the run.
	At        time.Duration
	Account   string
	Messages  []wire.Message
	MaxTokens int
}

// Config tells where requests go.
type Config struct {
	// URL is the base URL of a balancer or an entry instance.
	URL    string
	Tenant tenants.Tenant
	// RunID separates the request ids of several runs.
	RunID string
	// Timeout bounds one request; 0 means a minute.
	Timeout time.Duration
}

const (
	// usualTimeout bounds a request without another bound.
	usualTimeout = time.Minute
	// idleConnections is the number of connections kept open to the balancer.
	idleConnections = 256
)

// Outcome is what became of one arrival.
type Outcome struct {
	Arrival Arrival
	// Err is nil for a whole answer.
	Err error
	// Right tells that a whole answer equals the undisturbed one.
	Right      bool
	FirstToken time.Duration
	// Between holds the times between tokens.
	Between []time.Duration
	Total   time.Duration
	Tokens  int
	Usage   *wire.Usage
}

// Met tells whether the answer was whole and right, its first token came within the
// target, and so did its tokens on average.
func (o *Outcome) Met(firstTokenMS, betweenTokensMS float64) bool {
	if o.Err != nil || !o.Right || milliseconds(o.FirstToken) > firstTokenMS {
		return false
	}
	if betweenTokensMS <= 0 || len(o.Between) == 0 {
		return true
	}
	total := time.Duration(0)
	for _, b := range o.Between {
		total += b
	}
	return milliseconds(total)/float64(len(o.Between)) <= betweenTokensMS
}

func milliseconds(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }

// Run sends all arrivals and returns their outcomes in the same order, when the last has
// ended or ctx is done.
func Run(ctx context.Context, cfg Config, arrivals []Arrival) []Outcome {
	if cfg.Timeout <= 0 {
		cfg.Timeout = usualTimeout
	}
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: idleConnections}}
	defer client.CloseIdleConnections()
	outcomes := make([]Outcome, len(arrivals))
	began := time.Now()
	var open sync.WaitGroup
	for i := range arrivals {
		wait(ctx, time.Until(began.Add(arrivals[i].At)))
		open.Go(func() { outcomes[i] = cfg.send(ctx, client, i, arrivals[i]) })
	}
	open.Wait()
	return outcomes
}

func wait(ctx context.Context, d time.Duration) {
	select {
	case <-time.After(d):
	case <-ctx.Done():
	}
}

// send sends one request and reads on after breaks.
func (cfg Config) send(ctx context.Context, client *http.Client, index int, a Arrival) Outcome {
	ctx, cancel := context.WithTimeout(ctx, cfg.Timeout)
	defer cancel()
	o := Outcome{Arrival: a}
	last := time.Time{}
	chat := caller.Chat{
		Service: cfg.Tenant.Model, Messages: a.Messages, MaxTokens: a.MaxTokens,
		RequestID: fmt.Sprintf("load-%s-%d", cfg.RunID, index),
		Token: func(int, string) {
			now := time.Now()
			if !last.IsZero() {
				o.Between = append(o.Between, now.Sub(last))
			}
			last = now
		},
	}
	answer, err := caller.New(client, cfg.URL, tenants.Key(a.Account)).Persist(ctx, chat)
	o.Err, o.Usage, o.Tokens = err, answer.Usage, answer.Tokens
	o.FirstToken, o.Total = answer.FirstToken, answer.Total
	want := engine.Answer(cfg.Tenant.ModelName(), a.Messages, a.MaxTokens)
	o.Right = err == nil && answer.Text == engine.Text(want)
	return o
}
