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
	Incarnation      uint64        `help:"Incarnation; 0 takes the clock."`
	Models           []string      `help:"Models that are loaded from the start; none serves every model."`
	Slots            int           `default:"8" help:"Requests that run at a time."`
	PrefillPerSecond float64       `default:"20000" help:"Prompt tokens computed in a second."`
	DecodeMS         float64       `name:"decode-ms" default:"8" help:"Time of a step with one running request, in milliseconds."`
	BatchShare       float64       `default:"0.05" help:"Part of decode-ms that each further running request adds."`
	CacheTokens      int           `default:"65536" help:"Size of the prefix cache in tokens."`
	Fenced           bool          `help:"Refuse orders with an old fencing number."`
	LoadLag          time.Duration `help:"Age of load reports."`
	EventLag         time.Duration `help:"Age at which cache events are published."`
	EventLoss        float64       `help:"Probability that a cache event is never published."`
	KVBytesPerToken  int64         `name:"kv-bytes-per-token" default:"102400" help:"Size of one token's KV cache in bytes."`
	KVBytesPerSecond float64       `name:"kv-bytes-per-second" default:"2147483648" help:"Rate of an export to another engine in bytes a second."`
	Weights          string        `help:"Base URL of the weight store."`
	Grace            time.Duration `default:"5s" help:"Time between SIGTERM and the end."`
	Seed             uint64        `default:"1" help:"Seed of chance."`
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

// incarnation returns a given incarnation, or the time in milliseconds.
func incarnation(given uint64) uint64 {
	if given > 0 {
		return given
	}
	return uint64(time.Now().UnixMilli())
}
