// Package measure compares routing policies on the same stand-in engines, arrivals and
// seeds, with real processes on loopback, calm and through a wave that reclaims all
// engines of a failure domain while starts are refused. It prints the page of measures.
//
// # Usage
//
//	err := measure.Run(ctx, measure.Options{BinDir: "bin", Policies: []string{"papayaport"}}, os.Stdout, os.Stderr)
//
// It is no test: it reports figures and judges none.
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

// Options selects the cases and sizes the system of each.
type Options struct {
	// BinDir holds the programs.
	BinDir   string
	Policies []string
	Shapes   []string
	// Waves holds false for a calm run and true for one with a wave.
	Waves []bool
	Seeds []uint64
	// Duration is the time in which requests arrive.
	Duration time.Duration
	// Rates holds the mean requests a second by shape.
	Rates            map[string]float64
	Entries          int
	EnginesPerDomain int
	// Command is the command line that the page names.
	Command string
}

// Case is one run.
type Case struct {
	Policy string
	Shape  string
	Wave   bool
	Seed   uint64
}

// Result is what one run gave.
type Result struct {
	Case
	load.Report
	// Cost is the price of the engines' busy time in dollars.
	Cost float64
	// Computed counts the prompt tokens that the engines computed, Needed those that one
	// engine with an unlimited cache would have computed for the same answers.
	Computed, Needed int64
	// Starts counts the attempts that began at an engine.
	Starts int
	// Err tells why a run gave nothing.
	Err error
}

const (
	// waveAfter is the share of the arrivals' time after which the wave's notice comes.
	waveAfter = 0.35
	// waveNotice is the time from the wave's notice to the end of the engines.
	waveNotice = 3 * time.Second
	// settleTime is the time between readiness and the first arrival.
	settleTime = 1500 * time.Millisecond
	// runLimit bounds one run beyond its arrivals.
	runLimit = 45 * time.Second
)

// UsualPolicies are the policies that are compared.
func UsualPolicies() []string {
	return []string{route.Papayaport, route.PrefixHash, route.LeastInFlight, route.RoundRobin}
}

// engineConfig returns the engines of all runs.
func engineConfig() engine.Config {
	cfg := engine.Default()
	cfg.PrefillPerSecond = 8000
	cfg.DecodeMS = 10
	cfg.CacheTokens = 40_000
	cfg.LoadLagMS, cfg.EventLagMS = 200, 200
	cfg.EventLoss = 0.01
	return cfg
}

// Run runs all cases, tells the progress and writes the page.
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
	return write(page, o, results)
}

// cases returns the cases, the policies of one seed behind each other.
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

// line sums up a result for the progress.
func (r Result) line() string {
	if r.Err != nil {
		return fmt.Sprintf("%s %s %s seed %d: %v", r.Policy, r.Shape, weather(r.Wave), r.Seed, r.Err)
	}
	return fmt.Sprintf("%s %s %s seed %d: %d of %d met, %d whole, %d wrong, %d broken, refused %v, cost %.1f, first p95 %.0f ms, computed %d, needed %d, starts %d",
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

// recomputed returns the tokens computed beyond the needed ones per 1,000 requests.
func (r Result) recomputed() float64 {
	return float64(r.Computed-r.Needed) * 1000 / float64(max(r.Requests, 1))
}

// attempts returns the attempts that began at an engine per request.
func (r Result) attempts() float64 { return float64(r.Starts) / float64(max(r.Requests, 1)) }

// met returns the share of requests that kept the target, in percent.
func (r Result) met() float64 { return 100 * float64(r.Met) / float64(max(r.Requests, 1)) }
