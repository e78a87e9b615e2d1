package demo

import (
	"context"

	wire "papayaport.dev/serving/connection/engine"
)

// figures prints the counters of the engines and the store.
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
	d.detail("prompt tokens at the running engines: %d computed, %d from the cache, %d recomputed", computed, cached, recomputed)
	d.detail("calls of the key-value service: %d reads (%d of them watches), %d writes (%d of them on leases), %d over the rate limit",
		calls.Reads(), calls.Watch, calls.Writes(), calls.Lease, calls.Limited)
	return nil
}
