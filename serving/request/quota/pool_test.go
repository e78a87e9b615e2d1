package quota_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"papayaport.dev/serving/request/quota"
)

// drainPool sends small requests until one is refused, and returns the granted tokens.
func drainPool(t *testing.T, table *quota.Table, now time.Time) float64 {
	const cost = 100.0
	granted := 0.0
	for {
		decision, known := table.Charge(now, account, quota.Amount{Requests: 1, Tokens: cost})
		require.True(t, known)
		if !decision.Granted {
			return granted
		}
		granted += cost
	}
}

// TestIdlePoolsHoldOneBurstTogether guards against an idle account that gets its full burst
// from each of two pools when half of the instances deposit into each.
func TestIdlePoolsHoldOneBurstTogether(t *testing.T) {
	const rate, burst, entries = 100_000.0, 150_000.0, 60
	now := start
	var pools [2]*quota.Table
	var instances [entries]*quota.Table
	table := func() *quota.Table {
		created := quota.New()
		created.SetEntries(now, entries)
		created.SetLimits(now, 1, []quota.Limit{{Account: account, PerSecond: quota.Amount{Tokens: rate}, Burst: quota.Amount{Tokens: burst}}})
		return created
	}
	for i := range pools {
		pools[i] = table()
	}
	for i := range instances {
		instances[i] = table()
	}
	for now.Before(start.Add(30 * time.Second)) {
		now = now.Add(quota.DepositPeriod(entries))
		for i, instance := range instances {
			pools[i%2].Deposit(now, account, instance.Withdraw(now, account))
		}
	}
	granted := drainPool(t, pools[0], now) + drainPool(t, pools[1], now)
	require.LessOrEqual(t, granted, burst)
	require.Greater(t, granted, burst/2)
}

// TestAccrualOfSuspendedInstance guards against an instance that was suspended or partitioned
// and then deposits minutes of a limit at once.
func TestAccrualOfSuspendedInstance(t *testing.T) {
	const rate, entries = 100_000.0, 60
	table := quota.New()
	table.SetEntries(start, entries)
	table.SetLimits(start, 1, []quota.Limit{{Account: account, PerSecond: quota.Amount{Tokens: rate}}})
	period := quota.DepositPeriod(entries)
	part := rate / entries
	require.InEpsilon(t, part*period.Seconds(), table.Withdraw(start.Add(period), account).Tokens, 0.01)
	late := table.Withdraw(start.Add(5*time.Minute), account).Tokens
	require.LessOrEqual(t, late, 2*part*period.Seconds())
	require.GreaterOrEqual(t, late, part*period.Seconds())
}
