package daemon

import (
	"fmt"
	"io"
	"log"
	"time"

	"github.com/VictoriaMetrics/metrics"
)

// discardLog is the error log of the HTTP servers: net/http only logs connection errors of
// clients there.
var discardLog = log.New(io.Discard, "", 0)

func writeProcessMetrics(w io.Writer) { metrics.WriteProcessMetrics(w) }

// storeCallKinds are the kinds of calls to the key-value service with a metric.
var storeCallKinds = []string{"get", "list", "watch", "put", "delete", "lease"}

// registerGauges registers the gauges, which are read when metrics are written.
func (d *Daemon) registerGauges() {
	gauge := func(name string, read func() float64) { d.meters.NewGauge("papayaport_"+name, read) }
	gauge("config_version", func() float64 { return float64(d.keeper.Head().Version) })
	gauge("leaving_instances", func() float64 { return float64(len(d.members.LeavingSet())) })
	gauge("peers_live", func() float64 { return float64(len(d.members.Live(time.Now()))) })
	gauge("in_flight", func() float64 { return float64(d.gateway.InFlight()) })
	gauge("model_requests", func() float64 { return float64(d.gateway.Runs()) })
	gauge("queued", func() float64 { return float64((&administeredNode{d}).Status().Queued) })
	gauge("peer_bytes_in_total", func() float64 { return float64(d.traffic.In.Load()) })
	gauge("peer_bytes_out_total", func() float64 { return float64(d.traffic.Out.Load()) })
	gauge("peer_dials_total", func() float64 { return float64(d.traffic.Dials.Load()) })
	for _, kind := range storeCallKinds {
		gauge(fmt.Sprintf("store_calls_total{kind=%q}", kind), func() float64 { return float64(d.platform.Store.Calls()[kind]) })
	}
}
