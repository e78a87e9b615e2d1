package clock_test

import (
	"context"
	"testing"
	"time"

	"github.com/pkg/errors"
	"github.com/stretchr/testify/require"

	"papayaport.dev/serving/process/clock"
)

func TestSleep(t *testing.T) {
	require.NoError(t, clock.Sleep(context.Background(), time.Millisecond))
	ctx, cancel := context.WithCancelCause(context.Background())
	stopped := errors.New("stopped")
	cancel(stopped)
	require.ErrorIs(t, clock.Sleep(ctx, time.Hour), stopped)
}
