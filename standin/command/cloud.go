package command

import (
	"context"
	"encoding/json"
	"net/http"
	"os"

	"github.com/pkg/errors"
	"golang.org/x/sync/errgroup"

	"papayaport.dev/standin/cloud"
	"papayaport.dev/standin/httpjson"
)

type cloudCommand struct {
	Listen string `default:"127.0.0.1:8600" help:"Address to listen on."`
	Config string `type:"existingfile" help:"JSON file with lag, prices and templates of started instances."`
}

// Run runs the cloud API.
func (c *cloudCommand) Run(ctx context.Context) error {
	cfg, err := c.read()
	if err != nil {
		return err
	}
	ctx, stop := untilSignal(ctx)
	defer stop()
	api := cloud.New(cfg, http.DefaultClient)
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error { return api.Run(ctx) })
	group.Go(func() error { return httpjson.Serve(ctx, c.Listen, api) })
	return group.Wait()
}

func (c *cloudCommand) read() (cloud.Config, error) {
	var cfg cloud.Config
	if c.Config == "" {
		return cfg, nil
	}
	data, err := os.ReadFile(c.Config)
	if err != nil {
		return cfg, errors.Wrap(err, "reading the cloud configuration")
	}
	return cfg, errors.Wrapf(json.Unmarshal(data, &cfg), "decoding %s", c.Config)
}
