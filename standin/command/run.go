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

// backend is a simulated backend server.
type backend interface {
	http.Handler
	Run(ctx context.Context) error
	Reclaim(leaveIn time.Duration)
}

// runBackend runs a backend server until SIGINT or SIGQUIT, until grace has passed after SIGTERM, or until the
// time of a reclaim notice has passed. Open connections are then closed at once.
func runBackend(ctx context.Context, address string, b backend, grace time.Duration) error {
	ctx, stop := signal.NotifyContext(ctx, syscall.SIGINT, syscall.SIGQUIT)
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
