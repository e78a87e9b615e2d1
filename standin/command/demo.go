package command

import (
	"context"
	"os"

	"papayaport.dev/standin/demo"
)

type demoCommand struct {
	Bin string `default:"bin" type:"existingdir" help:"Directory with the programs."`
}

// Run runs the demo.
func (c *demoCommand) Run(ctx context.Context) error {
	ctx, stop := untilSignal(ctx)
	defer stop()
	return demo.Run(ctx, c.Bin, os.Stdout)
}
