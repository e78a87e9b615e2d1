package rollout

import (
	"testing"

	"github.com/stretchr/testify/require"
)

// TestTail guards against a tail that leaves out the count itself.
func TestTail(t *testing.T) {
	require.InDelta(t, 1, tail(10, 0, 0.1), 1e-9)
	require.InDelta(t, 0.6513, tail(10, 1, 0.1), 1e-4)
	require.InDelta(t, 0.0016, tail(10, 5, 0.1), 1e-4)
	require.InDelta(t, 0.1, tail(1, 1, 0.1), 1e-9)
	require.Zero(t, tail(10, 1, 0))
}
