// Package command is the command line of the stand-ins, with one file per command.
//
// # Usage
//
//	standin engine --listen 127.0.0.1:8000 --models farewell-7b
package command

import (
	"context"
	"os/signal"
	"syscall"

	"github.com/alecthomas/kong"

	"papayaport.dev/standin/figures"
	"papayaport.dev/standin/load"
	"papayaport.dev/standin/measure"
)

// commands holds all commands.
type commands struct {
	Demo     demoCommand     `cmd:"" help:"Start the whole system, serve a request of each kind and stop."`
	Engine   engineCommand   `cmd:"" help:"Run a model engine."`
	Service  serviceCommand  `cmd:"" help:"Run a plain service."`
	Store    storeCommand    `cmd:"" help:"Run a key-value service."`
	Cloud    cloudCommand    `cmd:"" help:"Run a cloud API with its instance list."`
	Weights  weightsCommand  `cmd:"" help:"Run a weight store."`
	Balancer balancerCommand `cmd:"" help:"Run a load balancer over entry instances."`
	Link     linkCommand     `cmd:"" help:"Run TCP relays that inject network faults."`
	Load     load.Command    `cmd:"" help:"Send one shape of requests and report latencies and outcomes."`
	Measure  measure.Command `cmd:"" help:"Compare routing policies on the same engines, arrivals and seeds."`
	Figures  figures.Command `cmd:"" help:"Measure the overhead and the capacity of one entry instance."`
}

// Main parses the command line and runs its command.
func Main() {
	var all commands
	parsed := kong.Parse(
		&all,
		kong.Name("standin"),
		kong.Description("Stand-ins of the systems around papayaport, for demo, measurement and tests."),
		kong.UsageOnError(),
	)
	parsed.BindTo(context.Background(), (*context.Context)(nil))
	parsed.FatalIfErrorf(parsed.Run())
}

// untilSignal returns a context that ends at SIGINT, SIGTERM or SIGQUIT.
func untilSignal(ctx context.Context) (context.Context, context.CancelFunc) {
	return signal.NotifyContext(ctx, syscall.SIGINT, syscall.SIGTERM, syscall.SIGQUIT)
}
