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
