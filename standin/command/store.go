package command

import (
	"context"

	"papayaport.dev/standin/httpjson"
	"papayaport.dev/standin/store"
)

type storeCommand struct {
	Listen          string  `default:"127.0.0.1:2379" help:"Address to listen on."`
	WritesPerSecond float64 `default:"400" help:"Maximum writes per second; 0 for no limit."`
	ReadsPerSecond  float64 `default:"2000" help:"Maximum reads per second; 0 for no limit."`
	Seed            uint64  `default:"1" help:"Seed of the random numbers."`
}

// Run runs the key-value service.
func (c *storeCommand) Run(ctx context.Context) error {
	ctx, stop := untilSignal(ctx)
	defer stop()
	s := store.New(store.Config{WritesPerSecond: c.WritesPerSecond, ReadsPerSecond: c.ReadsPerSecond, Seed: c.Seed})
	return httpjson.Serve(ctx, c.Listen, s)
}
