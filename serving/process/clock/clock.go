// Package clock provides waiting and clocks that are not affected by jumps of the wall clock.
//
// # Usage
//
//	if err := clock.Sleep(ctx, time.Second); err != nil {
//		return err // ctx was done first
//	}
package clock

import (
	"context"
	"time"
)

// Sleep waits for the given duration. It returns ctx's cause if ctx is done first.
func Sleep(ctx context.Context, wait time.Duration) error {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return context.Cause(ctx)
	}
}

// Every calls step immediately and then periodically until ctx is done, and returns its cause.
func Every(ctx context.Context, period time.Duration, step func(ctx context.Context, now time.Time)) error {
	ticker := time.NewTicker(period)
	defer ticker.Stop()
	for {
		step(ctx, time.Now())
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return context.Cause(ctx)
		}
	}
}
