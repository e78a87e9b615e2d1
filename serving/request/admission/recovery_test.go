package admission_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"papayaport.dev/serving/request/admission"
)

// TestRecoveryAfterSlowPeriod guards against a service that stays locked out after a slow
// period: its mean run time is then beyond the deadline of every later request, so that none
// is admitted and the mean is never updated.
func TestRecoveryAfterSlowPeriod(t *testing.T) {
	const (
		slow     = time.Minute
		quick    = 100 * time.Millisecond
		deadline = 10 * time.Second
		probes   = 100
	)
	table := newTable(4, nil)
	now := start
	one := func(number int, takes time.Duration, limit time.Duration) admission.Verdict {
		a := ask(fmt.Sprint("r", number), "clinic", 1)
		a.Deadline = now.Add(limit)
		got := verdict(t, table, now, a)
		now = now.Add(takes)
		if got == admission.Admitted {
			table.Done(now, a.RequestID, a.Tokens)
		}
		return got
	}
	for i := range 20 {
		require.Equal(t, admission.Admitted, one(i, slow, 2*slow))
	}
	for i := range probes {
		one(100+i, quick, deadline)
	}
	require.Equal(t, admission.Admitted, one(1000, quick, deadline), "requests are admitted again")
	require.Equal(t, admission.Admitted, verdict(t, table, now, ask("long", "clinic", 1)))
	a := ask("beside", "clinic", 1)
	a.Deadline = now.Add(deadline)
	require.Equal(t, admission.Admitted, verdict(t, table, now, a), "also while another one is running")
}
