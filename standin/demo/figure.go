package demo

import (
	"context"

	wire "papayaport.dev/serving/connection/engine"
)

// figures prints what the engines and the store counted.
func (d *demo) figures(ctx context.Context) error {
	var computed, cached, recomputed int64
	for _, p := range d.system.Engines {
		if !p.Running() {
			continue
		}
		load, err := wire.New(d.http, p.URL()).Load(ctx)
		if err != nil {
			return err
		}
		computed += load.ComputedTotal
		cached += load.CachedTotal
		recomputed += load.RecomputeTotal
	}
	calls, err := d.system.StoreCalls(ctx)
	if err != nil {
		return err
	}
	d.detail("prompt tokens at the engines left: %d computed, %d from cache, %d computed again", computed, cached, recomputed)
	d.detail("calls of the key-value service: %d reads (%d of them watches), %d writes (%d of them on leases), %d over the rate",
		calls.Reads(), calls.Watch, calls.Writes(), calls.Lease, calls.Limited)
	return nil
}
