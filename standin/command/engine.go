package command

import (
	"context"
	"net/http"
	"time"

	"github.com/pkg/errors"

	"papayaport.dev/standin/engine"
	"papayaport.dev/standin/engine/listener"
)

type engineCommand struct {
	Listen           string        `default:"127.0.0.1:8000" help:"Address to listen on."`
	Instance         string        `default:"engine" help:"Instance id."`
	Incarnation      uint64        `help:"Incarnation; 0 for the time in milliseconds."`
	Models           []string      `help:"Models loaded at the start; if empty, every model is served."`
	Slots            int           `default:"8" help:"Concurrent requests."`
	PrefillPerSecond float64       `default:"20000" help:"Prompt tokens computed per second."`
	DecodeMS         float64       `name:"decode-ms" default:"8" help:"Duration of a step with one running request, in milliseconds."`
	BatchShare       float64       `default:"0.05" help:"Fraction of decode-ms that each further running request adds."`
	CacheTokens      int           `default:"65536" help:"Size of the prefix cache in tokens."`
	Fenced           bool          `help:"Refuse orders with a stale fencing token."`
	LoadLag          time.Duration `help:"Delay of load reports."`
	EventLag         time.Duration `help:"Delay of cache events."`
	EventLoss        float64       `help:"Probability that a cache event is never published."`
	KVBytesPerToken  int64         `name:"kv-bytes-per-token" default:"102400" help:"Size of one token's KV cache in bytes."`
	KVBytesPerSecond float64       `name:"kv-bytes-per-second" default:"2147483648" help:"Transfer rate of an export in bytes per second."`
	Weights          string        `help:"Base URL of the weight store."`
	Grace            time.Duration `default:"5s" help:"Time from SIGTERM to the exit."`
	Seed             uint64        `default:"1" help:"Seed of the random numbers."`
}

// Run runs the engine.
func (c *engineCommand) Run(ctx context.Context) error {
	cfg := engine.Config{
		Instance:         c.Instance,
		Incarnation:      incarnation(c.Incarnation),
		Slots:            c.Slots,
		PrefillPerSecond: c.PrefillPerSecond,
		DecodeMS:         c.DecodeMS,
		BatchShare:       c.BatchShare,
		CacheTokens:      c.CacheTokens,
		Models:           c.Models,
		Fenced:           c.Fenced,
		LoadLagMS:        c.LoadLag.Milliseconds(),
		EventLagMS:       c.EventLag.Milliseconds(),
		EventLoss:        c.EventLoss,
		KVBytesPerToken:  c.KVBytesPerToken,
		KVBytesPerSecond: c.KVBytesPerSecond,
		Weights:          c.Weights,
		Seed:             c.Seed,
	}
	if err := cfg.Check(); err != nil {
		return err
	}
	err := runBackend(ctx, c.Listen, listener.New(cfg, http.DefaultClient), c.Grace)
	if errors.Is(err, listener.ErrReclaimed) {
		return nil
	}
	return err
}

// incarnation returns the given incarnation, or the time in milliseconds if it is 0.
func incarnation(given uint64) uint64 {
	if given > 0 {
		return given
	}
	return uint64(time.Now().UnixMilli())
}
