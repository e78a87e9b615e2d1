package command

import (
	"context"

	"papayaport.dev/standin/httpjson"
	"papayaport.dev/standin/store"
)

type storeCommand struct {
	Listen          string  `default:"127.0.0.1:2379" help:"Address to listen on."`
	WritesPerSecond float64 `default:"400" help:"Limit of writes in a second; 0 for none."`
	ReadsPerSecond  float64 `default:"2000" help:"Limit of reads in a second; 0 for none."`
	Seed            uint64  `default:"1" help:"Seed of chance."`
}

// Run runs the key-value service.
func (c *storeCommand) Run(ctx context.Context) error {
	ctx, stop := untilSignal(ctx)
	defer stop()
	s := store.New(store.Config{WritesPerSecond: c.WritesPerSecond, ReadsPerSecond: c.ReadsPerSecond, Seed: c.Seed})
	return httpjson.Serve(ctx, c.Listen, s)
}
