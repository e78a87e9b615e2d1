package action

import (
	"context"
	"io"
	"math/rand/v2"
	"sync/atomic"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/stretchr/testify/require"

	"papayaport.dev/serving/process/platform"
)

// TestIdleKeeperTickRate checks that a Keeper without claims ticks at the idle rate, not the busy one.
func TestIdleKeeperTickRate(t *testing.T) {
	log := logrus.New()
	log.SetOutput(io.Discard)
	store := &memoryStore{entries: map[string]platform.Entry{}}
	var ticks atomic.Int64
	live := func() []Member {
		ticks.Add(1)
		return nil
	}
	self := Self{Instance: "entry-0", Incarnation: 1, FailureDomain: "a"}
	keeper := New(store, &fleet{}, self, live, DefaultSettings(), rand.New(rand.NewPCG(1, 1)), logrus.NewEntry(log))
	ctx, cancel := context.WithTimeout(context.Background(), 4*idleTickInterval)
	defer cancel()
	require.NoError(t, keeper.Run(ctx))
	require.Less(t, ticks.Load(), int64(3*time.Second/idleTickInterval))
}

// TestSweepIsIncremental checks that a new process removes a bounded number of expired pages per
// tick, even before it has received the member list.
func TestSweepIsIncremental(t *testing.T) {
	now := time.Unix(1_790_000_000, 0)
	self := Self{Instance: "entry-0", Incarnation: 1}
	table := NewTable(now, self, DefaultSettings(), rand.New(rand.NewPCG(1, 1)))
	removed := 0
	for range 4 * int(BucketLength/idleTickInterval) {
		now = now.Add(idleTickInterval)
		orders := table.Tick(now, nil)
		require.LessOrEqual(t, len(orders), 2)
		removed += len(orders)
	}
	require.GreaterOrEqual(t, removed, 2*3*PagesPerBucket)
}
