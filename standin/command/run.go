package command

import (
	"context"
	"net/http"
	"os"
	"os/signal"
	"syscall"
	"time"

	"golang.org/x/sync/errgroup"

	"papayaport.dev/standin/httpjson"
)

// backend is a stand-in of a backend server.
type backend interface {
	http.Handler
	Run(ctx context.Context) error
	Reclaim(leaveIn time.Duration)
}

// runBackend serves a backend server until SIGINT, or until grace has passed behind
// SIGTERM, or until the time of a reclaim is up. Open connections then end at once.
func runBackend(ctx context.Context, address string, b backend, grace time.Duration) error {
	ctx, stop := signal.NotifyContext(ctx, os.Interrupt)
	defer stop()
	terminated := make(chan os.Signal, 1)
	signal.Notify(terminated, syscall.SIGTERM)
	defer signal.Stop(terminated)
	go func() {
		<-terminated
		b.Reclaim(grace)
	}()
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error { return b.Run(ctx) })
	group.Go(func() error { return httpjson.Serve(ctx, address, b) })
	return group.Wait()
}
