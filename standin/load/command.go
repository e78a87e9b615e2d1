package load

import (
	"context"
	"encoding/json"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/pkg/errors"

	"papayaport.dev/standin/tenants"
)

// Command is the command "standin load".
type Command struct {
	URL      string        `default:"http://127.0.0.1:8000" help:"Base URL of a balancer or an entry instance."`
	Shape    string        `default:"filings" enum:"filings,chats" help:"Shape of the requests: filings or chats."`
	Rate     float64       `default:"5" help:"Mean number of requests per second."`
	Duration time.Duration `default:"10s" help:"Time during which requests are sent."`
	Seed     uint64        `default:"1" help:"Seed of the arrival times and texts."`
	RunID    string        `name:"run-id" default:"" help:"Part of the request ids; empty for the time of day."`
}

// Run sends the load and prints a Report as JSON.
func (c *Command) Run(ctx context.Context) error {
	ctx, stop := signal.NotifyContext(ctx, syscall.SIGINT, syscall.SIGTERM, syscall.SIGQUIT)
	defer stop()
	shape, err := Get(c.Shape)
	if err != nil {
		return err
	}
	tenant, err := tenants.Get(shape.Tenant())
	if err != nil {
		return err
	}
	if c.Rate <= 0 || c.Duration <= 0 {
		return errors.Errorf("rate is %g and duration %s, both must be positive", c.Rate, c.Duration)
	}
	if c.RunID == "" {
		c.RunID = time.Now().Format("150405.000")
	}
	arrivals := shape.Arrivals(Plan{Tenant: tenant, Rate: c.Rate, Duration: c.Duration, Seed: c.Seed})
	outcomes := Run(ctx, Config{URL: c.URL, Tenant: tenant, RunID: c.RunID}, arrivals)
	target := tenant.Services[tenant.Model].LatencyTarget
	encoder := json.NewEncoder(os.Stdout)
	encoder.SetIndent("", "  ")
	return encoder.Encode(Summarize(outcomes, target.FirstTokenMS, target.BetweenTokensMS))
}
