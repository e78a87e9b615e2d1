// Package load is an open-loop load generator: it sends requests at times that are fixed before
// the run, regardless of earlier answers, compares every answer with the simulated engine's
// correct one, and reports latencies and outcomes.
//
// # Usage
//
//	shape, err := load.Get("filings")
//	arrivals := shape.Arrivals(load.Plan{Tenant: tenant, Rate: 12, Duration: 10 * time.Second, Seed: 1})
//	outcomes := load.Run(ctx, load.Config{URL: "http://127.0.0.1:8000", Tenant: tenant}, arrivals)
//
// Plans with the same seed yield the same arrival times, texts and accounts.
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

// Arrival is one request with its time.
type Arrival struct {
	// At is the time of the request since the start of the run.
	At        time.Duration
	Account   string
	Messages  []wire.Message
	MaxTokens int
}

// Config describes the target of a run.
type Config struct {
	// URL is the base URL of a balancer or an entry instance.
	URL    string
	Tenant tenants.Tenant
	// RunID is part of the request ids and must be unique to the run.
	RunID string
	// Timeout is the timeout of one request; 0 means a minute.
	Timeout time.Duration
}

const (
	// defaultTimeout is the default of Config.Timeout.
	defaultTimeout = time.Minute
	// idleConnections is the maximum number of idle connections to the balancer.
	idleConnections = 256
)

// Outcome is the result of one arrival.
type Outcome struct {
	Arrival Arrival
	// Err is nil for a complete answer.
	Err error
	// Correct is set if a complete answer has the expected text.
	Correct    bool
	FirstToken time.Duration
	// Between holds the times between consecutive tokens.
	Between []time.Duration
	Total   time.Duration
	Tokens  int
	Usage   *wire.Usage
}

// Met reports whether the answer is complete and correct, and both the time to its first token and
// the mean time between its tokens are within their targets in milliseconds. A betweenTokensMS of
// 0 means no target.
func (o *Outcome) Met(firstTokenMS, betweenTokensMS float64) bool {
	if o.Err != nil || !o.Correct || milliseconds(o.FirstToken) > firstTokenMS {
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

// Run sends all arrivals and returns their outcomes in the same order once all requests have
// ended. When ctx is done, the remaining requests fail.
func Run(ctx context.Context, cfg Config, arrivals []Arrival) []Outcome {
	if cfg.Timeout <= 0 {
		cfg.Timeout = defaultTimeout
	}
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: idleConnections}}
	defer client.CloseIdleConnections()
	outcomes := make([]Outcome, len(arrivals))
	began := time.Now()
	var group sync.WaitGroup
	for i := range arrivals {
		sleep(ctx, time.Until(began.Add(arrivals[i].At)))
		group.Go(func() { outcomes[i] = cfg.send(ctx, client, i, arrivals[i]) })
	}
	group.Wait()
	return outcomes
}

func sleep(ctx context.Context, d time.Duration) {
	select {
	case <-time.After(d):
	case <-ctx.Done():
	}
}

// send sends one request, and resumes its stream after interruptions.
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
	o.Correct = err == nil && answer.Text == engine.Text(want)
	return o
}
