// Package figures measures the overhead and the capacity of one entry instance: the latency it adds
// to a direct call, requests per second, memory and processor time of concurrent streams, and the
// traffic between idle entry instances.
//
// # Usage
//
//	err := figures.Run(ctx, figures.Options{BinDir: "bin", Requests: 3000, Streams: 800}, os.Stdout)
//
// It reports figures and does not check them against limits.
package figures

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"os"
	"strings"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/pkg/errors"

	"papayaport.dev/standin/caller"
	"papayaport.dev/standin/engine"
	"papayaport.dev/standin/launch"
	"papayaport.dev/standin/tenants"
)

// Options sets the sizes of a measurement.
type Options struct {
	// BinDir is the directory of the programs.
	BinDir string
	// Requests is the number of sequential lookups, direct and through the entry instance.
	Requests int
	// Workers is the number of concurrent callers in the throughput measurement.
	Workers int
	// Busy is the duration of the throughput measurement.
	Busy time.Duration
	// Streams is the number of concurrent streams.
	Streams int
	// Entries is the number of entry instances whose idle traffic is measured.
	Entries int
}

// Command is the command "standin figures".
type Command struct {
	Bin      string        `default:"bin" help:"Directory with the programs."`
	Requests int           `default:"3000" help:"Number of sequential lookups."`
	Workers  int           `default:"32" help:"Concurrent callers in the throughput measurement."`
	Busy     time.Duration `default:"4s" help:"Duration of the throughput measurement."`
	Streams  int           `default:"800" help:"Number of concurrent streams."`
	Entries  int           `default:"8" help:"Number of idle entry instances."`
}

// Run runs the measurements and prints their figures to standard output.
func (c *Command) Run(ctx context.Context) error {
	options := Options{BinDir: c.Bin, Requests: c.Requests, Workers: c.Workers, Busy: c.Busy, Streams: c.Streams, Entries: c.Entries}
	return Run(ctx, options, os.Stdout)
}

const (
	// slotsPerEngine is large enough for four engines to run all streams.
	slotsPerEngine = 1000
	engineStepMS   = 30
	streamTokens   = 600
	lookupPath     = "/status/urn-1"
	runLimit       = 3 * time.Minute
)

// Run runs all measurements and prints their figures.
func Run(ctx context.Context, options Options, out io.Writer) error {
	ctx, cancel := context.WithTimeout(ctx, runLimit)
	defer cancel()
	if err := measureOne(ctx, options, out); err != nil {
		return err
	}
	return measureIdle(ctx, options, out)
}

// measureOne measures one entry instance.
func measureOne(ctx context.Context, options Options, out io.Writer) error {
	config := engine.Default()
	config.Slots, config.DecodeMS, config.BatchShare = slotsPerEngine, engineStepMS, 0
	config.CacheTokens = 1 << 20
	system, err := launch.Start(ctx, launch.Plan{
		BinDir: options.BinDir, Tenants: []string{tenants.Rahmeh}, Entries: 1, Engine: config, LogLevel: "error",
	})
	if err != nil {
		return err
	}
	defer system.Stop()
	if err := publishUnlimited(ctx, system); err != nil {
		return err
	}
	m := &measurement{system: system, options: options, out: out}
	m.tenant, err = tenants.Get(tenants.Rahmeh)
	if err != nil {
		return err
	}
	for _, step := range []func(context.Context) error{m.latency, m.throughput, m.streams} {
		if err := step(ctx); err != nil {
			return err
		}
	}
	return nil
}

type measurement struct {
	system  *launch.System
	options Options
	out     io.Writer
	tenant  tenants.Tenant
}

func (m *measurement) printf(format string, args ...any) { fmt.Fprintf(m.out, format+"\n", args...) }

func (m *measurement) key() string { return tenants.Key(m.tenant.Accounts[0]) }

// latency compares sequential lookups through the entry instance with direct ones.
func (m *measurement) latency(ctx context.Context) error {
	direct := "http://" + launch.OfService(m.tenant.Plain, m.system.Services)[0].Address + lookupPath
	through := m.system.Entries[0].URL() + "/" + m.tenant.Plain + lookupPath
	// Direct and forwarded lookups alternate, so that both run under the same load of the machine.
	times := map[string]*hdrhistogram.Histogram{direct: newHistogram(), through: newHistogram()}
	client := &http.Client{}
	for range m.options.Requests {
		for url, histogram := range times {
			took, err := m.lookup(ctx, client, url)
			if err != nil {
				return err
			}
			_ = histogram.RecordValue(took.Microseconds())
		}
	}
	for _, quantile := range []float64{50, 99} {
		d, t := times[direct].ValueAtQuantile(quantile), times[through].ValueAtQuantile(quantile)
		m.printf("lookup p%.0f: direct %d us, through one entry instance %d us, added %d us", quantile, d, t, t-d)
	}
	return nil
}

const maxRecordedTime = 10 * time.Second

func newHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(1, maxRecordedTime.Microseconds(), 3)
}

func (m *measurement) lookup(ctx context.Context, client *http.Client, url string) (time.Duration, error) {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return 0, errors.Wrap(err, "create lookup")
	}
	request.Header.Set("Authorization", "Bearer "+m.key())
	began := time.Now()
	response, err := client.Do(request)
	if err != nil {
		return 0, errors.Wrap(err, "send lookup")
	}
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	if err != nil || response.StatusCode != http.StatusOK {
		return 0, errors.Errorf("lookup answered with status %d: %s", response.StatusCode, body)
	}
	return time.Since(began), nil
}

// throughput measures the rate of lookups of concurrent callers.
func (m *measurement) throughput(ctx context.Context) error {
	url := m.system.Entries[0].URL() + "/" + m.tenant.Plain + lookupPath
	before, err := readUse(ctx, m.system.Entries[0])
	if err != nil {
		return err
	}
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: m.options.Workers}}
	until := time.Now().Add(m.options.Busy)
	count, err := workers(m.options.Workers, func() (int, error) {
		done := 0
		for time.Now().Before(until) {
			if _, err := m.lookup(ctx, client, url); err != nil {
				return done, err
			}
			done++
		}
		return done, nil
	})
	if err != nil {
		return err
	}
	after, err := readUse(ctx, m.system.Entries[0])
	if err != nil {
		return err
	}
	m.printf("lookups: %.0f per second from %d concurrent callers, %.0f us of processor time each",
		float64(count)/m.options.Busy.Seconds(), m.options.Workers, (after.processor-before.processor)*1e6/float64(count))
	return nil
}

// streams measures the memory and processor time of concurrent streams.
func (m *measurement) streams(ctx context.Context) error {
	entry := m.system.Entries[0]
	before, err := readUse(ctx, entry)
	if err != nil {
		return err
	}
	longest := newHistogram()
	answers := make(chan caller.Answer, m.options.Streams)
	failed := make(chan error, 1)
	for i := range m.options.Streams {
		go m.stream(ctx, i, answers, failed)
	}
	if err := sleep(ctx, settleTime); err != nil {
		return err
	}
	first, err := readUse(ctx, entry)
	if err != nil {
		return err
	}
	if err := sleep(ctx, sampleTime); err != nil {
		return err
	}
	second, err := readUse(ctx, entry)
	if err != nil {
		return err
	}
	for range m.options.Streams {
		select {
		case answer := <-answers:
			_ = longest.RecordValue(answer.LongestGap.Microseconds())
		case err := <-failed:
			return err
		}
	}
	m.reportStreams(before, first, second, longest)
	return nil
}

const (
	settleTime = 6 * time.Second
	sampleTime = 4 * time.Second
)

func (m *measurement) reportStreams(before, first, second use, longest *hdrhistogram.Histogram) {
	streams := float64(m.options.Streams)
	tokens := streams * sampleTime.Seconds() * 1000 / engineStepMS
	m.printf("%d concurrent streams, about %.0f tokens per second: %.1f KB resident memory per stream, %.2f cores, %.1f us of processor time per token",
		m.options.Streams, tokens/sampleTime.Seconds(), (second.resident-before.resident)/streams/1024,
		(second.processor-first.processor)/sampleTime.Seconds(), (second.processor-first.processor)*1e6/tokens)
	m.printf("longest time between two tokens of a stream: p50 %d ms, p99 %d ms (engine step %d ms)",
		longest.ValueAtQuantile(50)/1000, longest.ValueAtQuantile(99)/1000, engineStepMS)
}

func (m *measurement) stream(ctx context.Context, number int, answers chan<- caller.Answer, failed chan<- error) {
	client := caller.New(&http.Client{Transport: &http.Transport{}}, m.system.Entries[0].URL(), m.key())
	chat := caller.Chat{Service: m.tenant.Model, MaxTokens: 2 * streamTokens, Messages: question(number)}
	answer, err := client.Chat(ctx, chat)
	if err != nil {
		select {
		case failed <- errors.Wrapf(err, "stream %d", number):
		default:
		}
		return
	}
	answers <- answer
}

// measureIdle measures the traffic and resource use of entry instances that serve no requests.
func measureIdle(ctx context.Context, options Options, out io.Writer) error {
	system, err := launch.Start(ctx, launch.Plan{BinDir: options.BinDir, Tenants: []string{tenants.Rahmeh}, Entries: options.Entries, LogLevel: "error"})
	if err != nil {
		return err
	}
	defer system.Stop()
	if err := publishUnlimited(ctx, system); err != nil {
		return err
	}
	if err := sleep(ctx, settleTime); err != nil {
		return err
	}
	before, err := readAll(ctx, system.Entries)
	if err != nil {
		return err
	}
	if err := sleep(ctx, idleTime); err != nil {
		return err
	}
	after, err := readAll(ctx, system.Entries)
	if err != nil {
		return err
	}
	n := float64(len(system.Entries)) * idleTime.Seconds()
	fmt.Fprintf(out, "%d idle entry instances, each: %.0f bytes per second with peers, %.2f%% of a core, %.1f MB resident memory, %.2f calls of the key-value service per second\n",
		len(system.Entries), (after.peerBytes-before.peerBytes)/n, 100*(after.processor-before.processor)/n,
		after.resident/float64(len(system.Entries))/(1<<20), (after.storeCalls-before.storeCalls)/n)
	return nil
}

const idleTime = 15 * time.Second

// publishUnlimited publishes the tenant's service files without rate limits of client accounts.
func publishUnlimited(ctx context.Context, system *launch.System) error {
	files, err := unlimitedFiles(system.WorkDir, tenants.Rahmeh)
	if err != nil {
		return err
	}
	if err := system.Publish(ctx, system.Entries[0], files...); err != nil {
		return err
	}
	return system.WaitReady(ctx)
}

func sleep(ctx context.Context, wait time.Duration) error {
	select {
	case <-time.After(wait):
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// metricSum returns the sum of all series of one metric in the Prometheus text format.
func metricSum(text, name string) float64 {
	sum := 0.0
	for line := range strings.SplitSeq(text, "\n") {
		series, value, found := strings.Cut(line, " ")
		base, _, _ := strings.Cut(series, "{")
		if !found || base != name {
			continue
		}
		var number float64
		if _, err := fmt.Sscan(value, &number); err == nil {
			sum += number
		}
	}
	return sum
}
