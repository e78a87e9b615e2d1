package rollout

import (
	"testing"

	"github.com/stretchr/testify/require"
)

// TestBinomialTail guards against a tail that excludes the given count.
func TestBinomialTail(t *testing.T) {
	require.InDelta(t, 1, binomialTail(10, 0, 0.1), 1e-9)
	require.InDelta(t, 0.6513, binomialTail(10, 1, 0.1), 1e-4)
	require.InDelta(t, 0.0016, binomialTail(10, 5, 0.1), 1e-4)
	require.InDelta(t, 0.1, binomialTail(1, 1, 0.1), 1e-9)
	require.Zero(t, binomialTail(10, 1, 0))
}
