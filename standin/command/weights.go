package command

import (
	"context"

	"papayaport.dev/standin/httpjson"
	"papayaport.dev/standin/weight"
)

type weightsCommand struct {
	Listen         string  `default:"127.0.0.1:8700" help:"Address to listen on."`
	BytesPerSecond float64 `default:"4294967296" help:"Rate of all fetches together in bytes per second."`
	Parallel       int     `default:"4" help:"Concurrent fetches; more are refused."`
	ModelBytes     int64   `default:"1073741824" help:"Size of a model if its fetch does not give one, in bytes."`
}

// Run runs the weight store.
func (c *weightsCommand) Run(ctx context.Context) error {
	ctx, stop := untilSignal(ctx)
	defer stop()
	s := weight.New(weight.Config{BytesPerSecond: c.BytesPerSecond, Parallel: c.Parallel, ModelBytes: c.ModelBytes})
	return httpjson.Serve(ctx, c.Listen, s)
}
