package command

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"papayaport.dev/standin/plain"
)

type serviceCommand struct {
	Listen      string        `default:"127.0.0.1:8080" help:"Address to listen on."`
	Instance    string        `default:"service" help:"Instance id."`
	Incarnation uint64        `help:"Incarnation; 0 takes the clock."`
	Slots       int           `default:"64" help:"Requests that a load report claims room for."`
	Grace       time.Duration `default:"5s" help:"Time between SIGTERM and the end."`
}

// Run runs the plain service.
func (c *serviceCommand) Run(ctx context.Context) error {
	s := plain.New(plain.Config{Instance: c.Instance, Incarnation: incarnation(c.Incarnation), Slots: c.Slots})
	err := runBackend(ctx, c.Listen, s, c.Grace)
	if errors.Is(err, plain.ErrReclaimed) {
		return nil
	}
	return err
}
