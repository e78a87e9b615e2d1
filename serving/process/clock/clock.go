// Package clock waits in real time, for the shells around the decisions.
//
// # Usage
//
//	if err := clock.Sleep(ctx, time.Second); err != nil {
//		return err // ctx ended first
//	}
package clock

import (
	"context"
	"time"
)

// Sleep waits until the time has passed, and returns ctx's cause if it ends first.
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

// Every calls step at once and then with a period, until ctx ends, and returns its cause.
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
