package command

import (
	"context"
	"net/http"

	"golang.org/x/sync/errgroup"

	"papayaport.dev/standin/balancer"
)

type balancerCommand struct {
	Listen  string   `default:"127.0.0.1:8001" help:"Address to listen on."`
	Entries []string `required:"" help:"Addresses of the entry instances' listeners for callers."`
}

// Run runs the balancer.
func (c *balancerCommand) Run(ctx context.Context) error {
	ctx, stop := untilSignal(ctx)
	defer stop()
	b := balancer.New(c.Entries, http.DefaultClient)
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error { return b.Check(ctx) })
	group.Go(func() error { return b.Serve(ctx, c.Listen) })
	return group.Wait()
}
