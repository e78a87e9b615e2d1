// Package measure compares routing policies on the same simulated engines, arrivals and seeds, with
// a system of processes on loopback. It runs them calm, without reclaims, and with a wave, which
// reclaims all engines of a failure domain while starts are refused. It prints a report in Markdown.
//
// # Usage
//
//	err := measure.Run(ctx, measure.Options{BinDir: "bin", Policies: []string{"papayaport"}}, os.Stdout, os.Stderr)
//
// It reports figures and does not check them against limits.
package measure

import (
	"context"
	"fmt"
	"io"
	"time"

	"papayaport.dev/serving/request/route"
	"papayaport.dev/standin/engine"
	"papayaport.dev/standin/load"
)

// Options selects the cases and sets the size of the system.
type Options struct {
	// BinDir is the directory of the programs.
	BinDir   string
	Policies []string
	Shapes   []string
	// Waves holds false for calm runs and true for runs with a wave.
	Waves []bool
	Seeds []uint64
	// Duration is the time during which requests are sent.
	Duration time.Duration
	// Rates holds the mean number of requests per second by shape.
	Rates            map[string]float64
	Entries          int
	EnginesPerDomain int
	// Command is the command line that the report shows.
	Command string
}

// Case is the configuration of one run.
type Case struct {
	Policy string
	Shape  string
	Wave   bool
	Seed   uint64
}

// Result is the result of one run.
type Result struct {
	Case
	load.Report
	// Cost is the price of the engines' busy time in dollars.
	Cost float64
	// Computed is the number of prompt tokens that the engines computed, and Needed the number
	// that one engine with an unlimited cache would have computed for the same answers.
	Computed, Needed int64
	// Starts is the number of attempts that an engine started.
	Starts int
	// Err is the reason why a run has no figures.
	Err error
}

const (
	// waveAfter is the fraction of the duration after which the wave's notice is issued.
	waveAfter = 0.35
	// waveNotice is the time from the wave's notice to the exit of the engines.
	waveNotice = 3 * time.Second
	// settleTime is the wait before the first arrival and after the last answer.
	settleTime = 1500 * time.Millisecond
	// runLimit is the time limit of a run in addition to its duration.
	runLimit = 45 * time.Second
)

// CommonPolicies returns the policies that are compared by default.
func CommonPolicies() []string {
	return []string{route.Papayaport, route.PrefixHash, route.LeastInFlight, route.RoundRobin}
}

// engineConfig returns the configuration of the engines in all runs.
func engineConfig() engine.Config {
	cfg := engine.Default()
	cfg.PrefillPerSecond = 8000
	cfg.DecodeMS = 10
	cfg.CacheTokens = 40_000
	cfg.LoadLagMS, cfg.EventLagMS = 200, 200
	cfg.EventLoss = 0.01
	return cfg
}

// Run runs all cases, prints their progress and writes the report to page.
func Run(ctx context.Context, o Options, page, progress io.Writer) error {
	var results []Result
	for _, c := range o.cases() {
		if ctx.Err() != nil {
			break
		}
		result := o.run(ctx, c)
		results = append(results, result)
		fmt.Fprintln(progress, result.line())
	}
	return writeReport(page, o, results)
}

// cases returns all cases, with the policies of one seed next to each other.
func (o Options) cases() []Case {
	var cases []Case
	for _, shape := range o.Shapes {
		for _, wave := range o.Waves {
			for _, seed := range o.Seeds {
				for _, policy := range o.Policies {
					cases = append(cases, Case{Policy: policy, Shape: shape, Wave: wave, Seed: seed})
				}
			}
		}
	}
	return cases
}

// line returns a summary of the result for the progress output.
func (r Result) line() string {
	if r.Err != nil {
		return fmt.Sprintf("%s %s %s seed %d: %v", r.Policy, r.Shape, weather(r.Wave), r.Seed, r.Err)
	}
	return fmt.Sprintf("%s %s %s seed %d: %d of %d met, %d complete, %d wrong, %d broken, refused %v, cost %.1f, first p95 %.0f ms, computed %d, needed %d, starts %d",
		r.Policy, r.Shape, weather(r.Wave), r.Seed, r.Met, r.Requests, r.Whole, r.Wrong, r.Broken, r.Refused,
		r.microdollars(), r.FirstToken.P95, r.Computed, r.Needed, r.Starts)
}

func weather(wave bool) string {
	if wave {
		return "wave"
	}
	return "calm"
}

// microdollars returns the cost per request that met the target, in millionths of a dollar.
func (r Result) microdollars() float64 { return r.Cost * 1e6 / float64(max(r.Met, 1)) }

// recomputed returns the number of tokens computed beyond the needed ones per 1,000 requests.
func (r Result) recomputed() float64 {
	return float64(r.Computed-r.Needed) * 1000 / float64(max(r.Requests, 1))
}

// attempts returns the number of started attempts per request.
func (r Result) attempts() float64 { return float64(r.Starts) / float64(max(r.Requests, 1)) }

// met returns the percentage of requests that met the target.
func (r Result) met() float64 { return 100 * float64(r.Met) / float64(max(r.Requests, 1)) }
