package daemon

import (
	"io"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/stretchr/testify/require"

	"papayaport.dev/serving/process/platform"
)

func TestReadyOnceTheFleetIsKnown(t *testing.T) {
	log := logrus.New()
	log.SetOutput(io.Discard)
	set := testSettings(t, "entry-1", "http://127.0.0.1:1")
	d, err := New(set, NewPlatform(set), log)
	require.NoError(t, err)
	now := time.Now()
	require.False(t, d.fleetKnown(now.Add(time.Hour)), "not ready before the instance list was read")
	d.fleet.setList([]platform.Instance{{ID: "entry-2", Role: platform.EntryRole}}, now)
	require.False(t, d.fleetKnown(now), "not ready while the list has no backend server")
	require.True(t, d.fleetKnown(now.Add(fleetTimeout+time.Second)), "ready after fleetTimeout")
	require.True(t, d.fleetKnown(now), "stays ready")
}
