package plan_test

import (
	"testing"

	"github.com/stretchr/testify/require"

	"papayaport.dev/soak/plan"
)

func TestNew(t *testing.T) {
	drawn := map[plan.Kind]bool{}
	for seed := range uint64(200) {
		p := plan.New(seed, plan.Usual)
		require.Equal(t, p, plan.New(seed, plan.Usual))
		require.LessOrEqual(t, p.Entries, plan.Usual.Entries)
		for _, f := range p.Faults {
			drawn[f.Kind] = true
			require.LessOrEqual(t, f.End(), p.Length)
			require.Positive(t, f.At)
		}
	}
	require.Len(t, drawn, 21, "every kind is drawn")
}
