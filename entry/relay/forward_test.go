package relay

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/sirupsen/logrus"
	"github.com/stretchr/testify/require"

	"papayaport.dev/serving/connection/memorybudget"
	"papayaport.dev/serving/process/reachability"
	"papayaport.dev/serving/version/deployment"
)

type fixedVersion struct{ version *deployment.Version }

func (f fixedVersion) Current() *deployment.Version { return f.version }

// isolated returns the detector of an instance that reaches no server.
func isolated(now time.Time) *reachability.Detector {
	detector := reachability.New()
	detector.Probed(now, reachability.Probe{Tried: 1})
	return detector
}

// TestServeForwardedDeclines guards against an instance that serves a request for another one with an
// older configuration, while it stops, without memory for it, or while it reaches no server itself.
func TestServeForwardedDeclines(t *testing.T) {
	five := deployment.New(deployment.Deployment{Version: 5})
	for name, test := range map[string]struct {
		version      *deployment.Version
		reachability Reachability
		draining     bool
		body         int
		accepted     bool
	}{
		"in a position to serve it": {five, reachability.New(), false, 10, true},
		"no configuration":          {nil, reachability.New(), false, 0, false},
		"an older configuration":    {deployment.New(deployment.Deployment{Version: 4}), reachability.New(), false, 0, false},
		"draining":                  {five, reachability.New(), true, 0, false},
		"isolated itself":           {five, isolated(time.Now()), false, 0, false},
		"no memory for the body":    {five, reachability.New(), false, 1 << 20, false},
	} {
		t.Run(name, func(t *testing.T) {
			log := logrus.New()
			log.SetOutput(io.Discard)
			r := New(Dependencies{
				Versions: fixedVersion{test.version}, Reachability: test.reachability, Room: memorybudget.New(1 << 10), BodyRoom: memorybudget.New(1 << 10),
				Codec: plainCodec{}, Metrics: NewMetrics(metrics.NewSet()), Log: logrus.NewEntry(log),
			})
			if test.draining {
				r.Drain(time.Now(), time.Now().Add(time.Second))
			}
			w := httptest.NewRecorder()
			err := r.ServeForwarded(context.Background(), Forwarded{Version: 5, Call: Call{ID: "1", Header: http.Header{}, Body: make([]byte, test.body)}}, w)
			if test.accepted {
				require.NoError(t, err)
				require.Equal(t, http.StatusNotFound, w.Code, "no route")
				return
			}
			require.ErrorIs(t, err, ErrNotForwarded)
		})
	}
}
