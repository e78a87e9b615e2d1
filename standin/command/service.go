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
	Incarnation uint64        `help:"Incarnation; 0 for the time in milliseconds."`
	Slots       int           `default:"64" help:"Concurrent requests in load reports."`
	Grace       time.Duration `default:"5s" help:"Time from SIGTERM to the exit."`
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
