// Package figures measures what one entry instance adds to a request and what it can
// carry: added latency against a direct call, requests a second, held streams with
// their memory and processor time, and bytes between entry instances.
//
// # Usage
//
//	err := figures.Run(ctx, figures.Options{BinDir: "bin", Requests: 3000, Streams: 800}, os.Stdout)
//
// It is no test: it reports figures and judges none.
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

// Options sizes a measurement.
type Options struct {
	// BinDir holds the programs.
	BinDir string
	// Requests is the number of sequential lookups, direct and through the entry instance.
	Requests int
	// Workers is the number of callers that ask at once for the rate.
	Workers int
	// Busy is how long they ask.
	Busy time.Duration
	// Streams is the number of streams held at once.
	Streams int
	// Entries is the number of entry instances whose idle traffic is measured.
	Entries int
}

// Command is the command line of a measurement.
type Command struct {
	Bin      string        `default:"bin" help:"Directory with the programs."`
	Requests int           `default:"3000" help:"Sequential lookups."`
	Workers  int           `default:"32" help:"Callers at once for the rate."`
	Busy     time.Duration `default:"4s" help:"Time for the rate."`
	Streams  int           `default:"800" help:"Streams held at once."`
	Entries  int           `default:"8" help:"Entry instances for the idle traffic."`
}

// Run measures and prints to standard output.
func (c *Command) Run(ctx context.Context) error {
	options := Options{BinDir: c.Bin, Requests: c.Requests, Workers: c.Workers, Busy: c.Busy, Streams: c.Streams, Entries: c.Entries}
	return Run(ctx, options, os.Stdout)
}

const (
	// slotsPerEngine lets four engines hold all streams.
	slotsPerEngine = 1000
	stepMS         = 30
	streamTokens   = 600
	lookupPath     = "/status/urn-1"
	runLimit       = 3 * time.Minute
)

// Run measures and prints.
func Run(ctx context.Context, options Options, out io.Writer) error {
	ctx, cancel := context.WithTimeout(ctx, runLimit)
	defer cancel()
	if err := single(ctx, options, out); err != nil {
		return err
	}
	return idle(ctx, options, out)
}

// single measures one entry instance.
func single(ctx context.Context, options Options, out io.Writer) error {
	config := engine.Default()
	config.Slots, config.DecodeMS, config.BatchShare = slotsPerEngine, stepMS, 0
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
	for _, step := range []func(context.Context) error{m.latency, m.rate, m.streams} {
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

func (m *measurement) say(format string, args ...any) { fmt.Fprintf(m.out, format+"\n", args...) }

func (m *measurement) key() string { return tenants.Key(m.tenant.Accounts[0]) }

// latency compares sequential lookups through the entry instance with direct ones.
func (m *measurement) latency(ctx context.Context) error {
	direct := "http://" + launch.OfService(m.tenant.Plain, m.system.Services)[0].Address + lookupPath
	through := m.system.Entries[0].URL() + "/" + m.tenant.Plain + lookupPath
	// The two are asked in turn, so that both see the same machine.
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
		m.say("lookup p%.0f: direct %d us, through one entry instance %d us, added %d us", quantile, d, t, t-d)
	}
	return nil
}

const longestLookup = 10 * time.Second

func newHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(1, longestLookup.Microseconds(), 3)
}

func (m *measurement) lookup(ctx context.Context, client *http.Client, url string) (time.Duration, error) {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return 0, errors.Wrap(err, "make lookup")
	}
	request.Header.Set("Authorization", "Bearer "+m.key())
	began := time.Now()
	response, err := client.Do(request)
	if err != nil {
		return 0, errors.Wrap(err, "look up")
	}
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	if err != nil || response.StatusCode != http.StatusOK {
		return 0, errors.Errorf("lookup answered %d: %s", response.StatusCode, body)
	}
	return time.Since(began), nil
}

// rate lets many callers look up at once.
func (m *measurement) rate(ctx context.Context) error {
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
	m.say("lookups: %.0f a second from %d callers at once, %.0f us of processor time each",
		float64(count)/m.options.Busy.Seconds(), m.options.Workers, (after.processor-before.processor)*1e6/float64(count))
	return nil
}

// streams holds many streams at once.
func (m *measurement) streams(ctx context.Context) error {
	entry := m.system.Entries[0]
	before, err := readUse(ctx, entry)
	if err != nil {
		return err
	}
	longest := newHistogram()
	held := make(chan caller.Answer, m.options.Streams)
	failed := make(chan error, 1)
	for i := range m.options.Streams {
		go m.stream(ctx, i, held, failed)
	}
	if err := sleep(ctx, settleTime); err != nil {
		return err
	}
	first, err := readUse(ctx, entry)
	if err != nil {
		return err
	}
	if err := sleep(ctx, watchTime); err != nil {
		return err
	}
	second, err := readUse(ctx, entry)
	if err != nil {
		return err
	}
	for range m.options.Streams {
		select {
		case answer := <-held:
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
	watchTime  = 4 * time.Second
)

func (m *measurement) reportStreams(before, first, second use, longest *hdrhistogram.Histogram) {
	streams := float64(m.options.Streams)
	tokens := streams * watchTime.Seconds() * 1000 / stepMS
	m.say("%d streams held, about %.0f tokens a second: %.1f KB resident memory a stream, %.2f cores, %.1f us of processor time a token",
		m.options.Streams, tokens/watchTime.Seconds(), (second.resident-before.resident)/streams/1024,
		(second.processor-first.processor)/watchTime.Seconds(), (second.processor-first.processor)*1e6/tokens)
	m.say("longest time between two tokens of a stream: p50 %d ms, p99 %d ms (engine step %d ms)",
		longest.ValueAtQuantile(50)/1000, longest.ValueAtQuantile(99)/1000, stepMS)
}

func (m *measurement) stream(ctx context.Context, number int, held chan<- caller.Answer, failed chan<- error) {
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
	held <- answer
}

// idle measures what entry instances without requests tell each other.
func idle(ctx context.Context, options Options, out io.Writer) error {
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
	fmt.Fprintf(out, "%d idle entry instances, each: %.0f bytes a second with peers, %.2f%% of a core, %.1f MB resident memory, %.2f calls of the key-value service a second\n",
		len(system.Entries), (after.peerBytes-before.peerBytes)/n, 100*(after.processor-before.processor)/n,
		after.resident/float64(len(system.Entries))/(1<<20), (after.storeCalls-before.storeCalls)/n)
	return nil
}

const idleTime = 15 * time.Second

// publishUnlimited publishes the tenant's files without limits of client accounts.
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

// metricSum adds up the series of one name in the Prometheus text format.
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
