package command

import (
	"context"
	"strings"

	"github.com/pkg/errors"

	"papayaport.dev/standin/httpjson"
	"papayaport.dev/standin/link"
)

type linkCommand struct {
	Control string   `default:"127.0.0.1:9000" help:"Address of the API that sets faults."`
	Relay   []string `required:"" help:"Relay as NAME=LISTEN=TARGET. May be repeated."`
}

// Run runs the link.
func (c *linkCommand) Run(ctx context.Context) error {
	ctx, stop := untilSignal(ctx)
	defer stop()
	l := link.New()
	for _, text := range c.Relay {
		parts := strings.Split(text, "=")
		if len(parts) != 3 {
			return errors.Errorf("relay is %q, must be NAME=LISTEN=TARGET", text)
		}
		if err := l.Add(ctx, link.Relay{Name: parts[0], Listen: parts[1], Target: parts[2]}); err != nil {
			return err
		}
	}
	return httpjson.Serve(ctx, c.Control, l)
}
