package measure

import (
	"fmt"
	"io"
	"runtime"
	"strings"
)

// column is one figure of the tables.
type column struct {
	title  string
	format string
	value  func(Result) float64
}

// columns holds all columns in their order.
var columns = []column{
	{"cost per request, $ per million", "%.1f", Result.microdollars},
	{"met, %", "%.1f", Result.met},
	{"recomputed tokens per 1,000", "%.0f", Result.recomputed},
	{"first token p95, ms", "%.0f", func(r Result) float64 { return r.FirstToken.P95 }},
	{"between tokens p95, ms", "%.1f", func(r Result) float64 { return r.BetweenTokens.P95 }},
	{"attempts per request", "%.3f", Result.attempts},
}

// writeReport writes the report: the method, a table for each shape and weather, and the failures.
func writeReport(w io.Writer, o Options, results []Result) error {
	var b strings.Builder
	o.writeMethod(&b)
	for _, shape := range o.Shapes {
		for _, wave := range o.Waves {
			o.writeTable(&b, shape, wave, results)
		}
	}
	writeFailures(&b, results)
	_, err := io.WriteString(w, b.String())
	return err
}

func (o Options) writeMethod(b *strings.Builder) {
	cfg := engineConfig()
	fmt.Fprintf(b, "Command: `%s`\n\n", o.Command)
	fmt.Fprintf(b, "Each run: %d entry instances, 4 failure domains with %d engines each, requests arriving for %s ", o.Entries, o.EnginesPerDomain, o.Duration)
	fmt.Fprintf(b, "(mean rates per second: %v), seeds %v. An engine has %d slots, computes %.0f prompt tokens per second, ", o.Rates, o.Seeds, cfg.Slots, cfg.PrefillPerSecond)
	fmt.Fprintf(b, "takes %.0f ms per step, caches %d tokens and reports load and cache events with a delay of %d ms. ", cfg.DecodeMS, cfg.CacheTokens, cfg.LoadLagMS)
	fmt.Fprintf(b, "A wave reclaims all engines of the cheapest failure domain with %s of notice after %.0f%% of the time; starts are refused throughout. ", waveNotice, 100*waveAfter)
	fmt.Fprintf(b, "Machine: %d cores, shared with other work.\n\n", runtime.NumCPU())
}

// writeTable writes a table with one row per policy: the mean over the seeds, and the smallest and
// largest value.
func (o Options) writeTable(b *strings.Builder, shape string, wave bool, results []Result) {
	fmt.Fprintf(b, "### %s, %s\n\n| policy |", shape, weather(wave))
	for _, c := range columns {
		fmt.Fprintf(b, " %s |", c.title)
	}
	fmt.Fprintf(b, "\n|---|%s\n", strings.Repeat("---:|", len(columns)))
	for _, policy := range o.Policies {
		fmt.Fprintf(b, "| %s |", policy)
		for _, c := range columns {
			fmt.Fprintf(b, " %s |", c.spread(filter(results, policy, shape, wave)))
		}
		fmt.Fprintln(b)
	}
	fmt.Fprintln(b)
}

// filter returns the results with figures of one policy, shape and weather.
func filter(results []Result, policy, shape string, wave bool) []Result {
	var found []Result
	for _, r := range results {
		if r.Err == nil && r.Policy == policy && r.Shape == shape && r.Wave == wave {
			found = append(found, r)
		}
	}
	return found
}

// spread formats the mean of a figure with its smallest and largest value.
func (c column) spread(results []Result) string {
	if len(results) == 0 {
		return "not run"
	}
	sum, low, high := 0.0, c.value(results[0]), c.value(results[0])
	for _, r := range results {
		v := c.value(r)
		sum, low, high = sum+v, min(low, v), max(high, v)
	}
	mean := fmt.Sprintf(c.format, sum/float64(len(results)))
	if len(results) == 1 {
		return mean
	}
	return fmt.Sprintf("%s ("+c.format+" to "+c.format+")", mean, low, high)
}

// writeFailures lists the runs that failed or have incomplete or wrong answers.
func writeFailures(b *strings.Builder, results []Result) {
	var lines []string
	for _, r := range results {
		name := fmt.Sprintf("%s, %s, %s, seed %d", r.Policy, r.Shape, weather(r.Wave), r.Seed)
		switch {
		case r.Err != nil:
			lines = append(lines, fmt.Sprintf("- %s: no figures: %v", name, r.Err))
		case r.Whole < r.Requests:
			line := fmt.Sprintf("- %s: %d of %d complete and correct; %d wrong, %d broken, refused %v", name, r.Whole, r.Requests, r.Wrong, r.Broken, r.Refused)
			lines = append(lines, strings.TrimSpace(line+" "+r.FirstBroken))
		}
	}
	if len(lines) == 0 {
		fmt.Fprint(b, "Every request of every run was answered completely and correctly.\n")
		return
	}
	fmt.Fprintf(b, "Requests that were not answered completely and correctly:\n\n%s\n", strings.Join(lines, "\n"))
}
