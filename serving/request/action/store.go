package action

import (
	"bytes"
	"context"
	"fmt"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/pkg/errors"

	"papayaport.dev/serving/process/platform"
	"papayaport.dev/serving/process/platform/store"
	"papayaport.dev/serving/process/problem"
)

// Store is the platform's key-value store. Its methods return the errors of package store.
type Store interface {
	Get(ctx context.Context, key string) (platform.Entry, error)
	Put(ctx context.Context, key string, value []byte, ifRevision uint64) (platform.Entry, error)
	Delete(ctx context.Context, key string, ifRevision uint64) error
}

var storeStateNames = map[StoreState]string{
	StoreOK: "ok", StoreConflict: "conflict", StoreUnknown: "unknown", StoreUnavailable: "unavailable",
}

func (k *Keeper) callStore(ctx context.Context, order Order) {
	switch o := order.(type) {
	case Swap:
		result := k.swap(ctx, o)
		k.update(func(now time.Time, table *Table) []Order { return table.SwapDone(now, o, result) })
	case Read:
		result := k.read(ctx, o)
		k.update(func(now time.Time, table *Table) []Order { return table.ReadDone(now, o, result) })
	case Seal:
		k.seal(ctx, o)
	case Delete:
		k.remove(ctx, o)
	}
}

func (k *Keeper) swap(ctx context.Context, o Swap) StoreResult {
	entry, err := k.store.Put(ctx, string(o.Page), o.Value, o.IfRevision)
	result := swapResult(entry, err)
	metrics.GetOrCreateCounter(fmt.Sprintf(`papayaport_action_swaps_total{result=%q}`, storeStateNames[result.State])).Inc()
	if result.State == StoreUnknown || result.State == StoreUnavailable {
		k.log.WithField("page", o.Page).WithError(err).Warn("actions: page write failed")
	}
	return result
}

// swapResult converts the result of a Put. Any other error counts as StoreUnknown, because
// the write may have taken effect.
func swapResult(entry platform.Entry, err error) StoreResult {
	var conflict *store.Conflict
	switch {
	case err == nil:
		return StoreResult{State: StoreOK, Revision: entry.Revision}
	case errors.As(err, &conflict):
		return StoreResult{State: StoreConflict, Value: conflict.Entry.Value, Revision: conflict.Entry.Revision}
	case errors.Is(err, store.ErrUnavailable):
		return StoreResult{State: StoreUnavailable}
	}
	return StoreResult{State: StoreUnknown}
}

func (k *Keeper) read(ctx context.Context, o Read) StoreResult {
	entry, err := k.store.Get(ctx, string(o.Page))
	switch {
	case err == nil:
		return StoreResult{State: StoreOK, Value: entry.Value, Revision: entry.Revision}
	case errors.Is(err, store.ErrNotFound):
		return StoreResult{State: StoreOK}
	}
	return StoreResult{State: StoreUnavailable}
}

func (k *Keeper) seal(ctx context.Context, o Seal) {
	entry, err := k.store.Get(ctx, string(o.Page))
	if errors.Is(err, store.ErrNotFound) || err == nil && bytes.Equal(entry.Value, sealedPage()) {
		return
	}
	if err == nil {
		_, err = k.store.Put(ctx, string(o.Page), sealedPage(), entry.Revision)
	}
	if err != nil {
		k.log.WithField("page", o.Page).WithError(err).Warn("actions: sealing of expired page failed")
	}
}

func (k *Keeper) remove(ctx context.Context, o Delete) {
	if err := k.store.Delete(ctx, string(o.Page), store.AnyRevision); err != nil && !errors.Is(err, store.ErrNotFound) {
		k.log.WithField("page", o.Page).WithError(err).Warn("actions: deletion of expired page failed")
	}
}

func countClaim(end Resolve) {
	result := "run"
	switch {
	case end.Err != nil:
		result = string(problem.From(end.Err).Kind)
	case end.Answer != nil:
		result = "repeat"
	}
	metrics.GetOrCreateCounter(fmt.Sprintf(`papayaport_action_claims_total{result=%q}`, result)).Inc()
}
