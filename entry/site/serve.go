package site

import (
	"context"
	"io"
	"log"
	"net/http"
	"strconv"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"
	"golang.org/x/sync/errgroup"

	"papayaport.dev/entry/relay"
	"papayaport.dev/serving/connection/inbound"
	"papayaport.dev/serving/connection/peer"
	"papayaport.dev/serving/process/drain"
)

const (
	// headerTimeout bounds the time to read the head of a request, and idleTimeout how long an
	// idle connection is kept open, unless the configuration sets less. Both are several times
	// the usual configuration, 3 s and 15 s.
	headerTimeout = 15 * time.Second
	idleTimeout   = 2 * time.Minute
	// headerBytes bounds the head of a request in any configuration.
	headerBytes = 256 << 10
	// headSlackFactor is the factor by which a head may exceed the limit of the configuration and is still
	// read to its end, and bufferedBytes is what is read ahead of a head at most.
	headSlackFactor, bufferedBytes = 2, 4 << 10
	// writeTimeout bounds the time in which a caller takes a part of an answer.
	writeTimeout = 30 * time.Second
	// probeConnections and probeHeadBytes bound the connections for probes and for metrics, of
	// which the platform opens a few at a time.
	probeConnections, probeHeadBytes = 64, 16 << 10
	// callerConnectionsDivisor and peerConnectionsDivisor are the divisors of the descriptors that callers
	// and peers may use. The rest is for backend servers, the store and other instances.
	callerConnectionsDivisor, peerConnectionsDivisor = 2, 8
	// stopPeriod is the interval between the steps of a shutdown.
	stopPeriod = 50 * time.Millisecond
	// settleTime is how long a draining instance accepts new connections: the load balancer
	// checks its health every second and removes it after two failures.
	settleTime = 2600 * time.Millisecond
	// graceMargin is the part of the grace period that is reserved for the exit of the process.
	graceMargin = 700 * time.Millisecond
	// responseMargin is the time between the last responses and the closing of all connections.
	responseMargin = 200 * time.Millisecond
)

// listeners holds the HTTP servers for callers and for readiness probes.
type listeners struct{ callers, ready *http.Server }

func (s *Site) listen(ctx context.Context, group *errgroup.Group) (*listeners, error) {
	options := peer.DefaultOptions()
	peers, err := s.connections.Open(s.settings.Peers, inbound.Options{
		Connections: min(options.Connections, s.descriptors/peerConnectionsDivisor), Messages: true,
	})
	if err != nil {
		return nil, errors.Wrap(err, "listen for peers")
	}
	group.Go(func() error {
		err := peer.Serve(ctx, peers, &peerHandler{s}, options)
		if ctx.Err() != nil {
			return nil
		}
		return err
	})
	l := &listeners{callers: newServer(s.relay), ready: newServer(http.HandlerFunc(s.handleReady))}
	s.idle.attach(l.callers)
	s.connections.Attach(l.callers, inbound.Handling{BodyTimeout: relay.BodyTimeout})
	if err := s.serve(group, l.callers, s.settings.Callers, s.callerOptions()); err != nil {
		return nil, err
	}
	probes := inbound.Options{Connections: probeConnections, HeadBytes: func() int { return probeHeadBytes }, WriteTimeout: writeTimeout}
	s.connections.Attach(l.ready, probeHandling)
	if err := s.serve(group, l.ready, s.settings.Ready, probes); err != nil {
		return nil, err
	}
	if s.settings.Metrics != "" {
		pages := newServer(http.HandlerFunc(s.handleMetrics))
		s.connections.Attach(pages, probeHandling)
		if err := s.serve(group, pages, s.settings.Metrics, probes); err != nil {
			return nil, err
		}
		context.AfterFunc(ctx, func() { closeServer(s.logger("site"), pages) })
	}
	return l, nil
}

// probeHandling is that of the listeners for probes and for metrics, whose requests have no body.
var probeHandling = inbound.Handling{BodyTimeout: headerTimeout, CountBodies: true, AllOrdinary: true}

// callerOptions are those of the callers' listener. The memory for requests bounds the connections as
// well, with a part left for the requests on them.
func (s *Site) callerOptions() inbound.Options {
	byMemory := int(s.requestMemory() / inbound.ConnectionBytes * 3 / 4)
	return inbound.Options{
		Connections: min(s.descriptors/callerConnectionsDivisor, byMemory), HeadBytes: s.maxHeadBytes, WriteTimeout: writeTimeout,
	}
}

// maxHeadBytes returns the size from which on a head is refused while it is read. The relay refuses a
// smaller one over the limit of the configuration once it is complete.
func (s *Site) maxHeadBytes() int {
	if version := s.keeper.Current(); version != nil && version.Limits.HeaderBytes > 0 {
		return min(headSlackFactor*version.Limits.HeaderBytes+bufferedBytes, headerBytes)
	}
	return headerBytes
}

func newServer(handler http.Handler) *http.Server {
	return &http.Server{
		Handler: handler, ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout, MaxHeaderBytes: headerBytes,
		// net/http logs only connections here that callers aborted.
		ErrorLog: log.New(io.Discard, "", 0),
	}
}

func (s *Site) serve(group *errgroup.Group, server *http.Server, address string, options inbound.Options) error {
	listener, err := s.connections.Open(address, options)
	if err != nil {
		return err
	}
	group.Go(func() error {
		if err := server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
			return err
		}
		return nil
	})
	return nil
}

func closeServer(log *logrus.Entry, server *http.Server) {
	if err := server.Close(); err != nil {
		log.WithError(err).Debug("site: closing a server failed")
	}
}

// finishServer closes the listener, waits for requests in flight until the deadline, and then
// closes all connections.
func finishServer(log *logrus.Entry, server *http.Server, deadline time.Time) {
	ctx, cancel := context.WithDeadline(context.Background(), deadline)
	defer cancel()
	if err := server.Shutdown(ctx); err != nil {
		log.WithError(err).Warn("site: requests aborted at the end of the grace period")
	}
	closeServer(log, server)
}

// ready reports whether the instance accepts requests. Once it has received a configuration and
// backend servers, it stays ready during outages of the store.
func (s *Site) ready() bool {
	return !s.relay.Draining() && s.keeper.Current() != nil && s.fleetKnown.Load()
}

func (s *Site) handleReady(w http.ResponseWriter, _ *http.Request) {
	if !s.ready() {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	w.WriteHeader(http.StatusOK)
}

func (s *Site) handleMetrics(w http.ResponseWriter, _ *http.Request) {
	s.metrics.WritePrometheus(w)
	metrics.WriteProcessMetrics(w)
}

// registerGauges registers the metrics that are computed on collection.
func (s *Site) registerGauges() {
	gauge := func(name string, read func() float64) { s.metrics.NewGauge("papayaport_"+name, read) }
	gauge("in_flight", func() float64 { return float64(s.relay.InFlight()) })
	gauge("connections", func() float64 { return float64(s.connections.Len()) })
	gauge("connections_closed_for_others_total", func() float64 { return float64(s.connections.Closed()) })
	gauge("request_memory_bytes", func() float64 { return float64(s.requests.Reserved()) })
	gauge("entries", func() float64 { return float64(s.entries()) })
	gauge("log_lines_dropped_total", func() float64 { return float64(s.lines.Dropped()) })
	gauge("backend_servers", func() float64 { return float64(len(s.backends())) })
	gauge("isolated", func() float64 {
		if s.reachability.Isolated() {
			return 1
		}
		return 0
	})
	gauge("store_generation", func() float64 {
		s.generation.mu.Lock()
		defer s.generation.mu.Unlock()
		return float64(s.generation.observed)
	})
	gauge("quarantined_prompt_parts", func() float64 {
		parts, _ := s.quarantine.Quarantined(time.Now())
		return float64(parts)
	})
	gauge("quarantined_requests", func() float64 {
		_, requests := s.quarantine.Quarantined(time.Now())
		return float64(requests)
	})
	gauge("config_version", func() float64 {
		if version := s.keeper.Current(); version != nil {
			return float64(version.Version)
		}
		return 0
	})
}

// stop performs a graceful shutdown: it turns unready, then disables keep-alive, and ends when all
// requests are answered.
func (s *Site) stop(l *listeners) {
	log := s.logger("site")
	now := time.Now()
	deadline := now.Add(seconds(s.settings.GraceS) - graceMargin)
	log.WithFields(logrus.Fields{"in_flight": s.relay.InFlight(), "deadline_ms": strconv.FormatInt(time.Until(deadline).Milliseconds(), 10)}).
		Info("site: stopping")
	machine := drain.New(now, drain.Limits{Grace: seconds(s.settings.GraceS), Deadline: deadline, Settle: settleTime})
	for !machine.Ended() {
		for _, order := range machine.Step(time.Now(), drain.Load{Callers: s.relay.InFlight()}) {
			log.WithFields(logrus.Fields{"order": order.String(), "in_flight": s.relay.InFlight()}).Info("site: shutdown step")
			s.execute(order, l, log, deadline)
		}
		time.Sleep(stopPeriod)
	}
	log.Info("site: stopped")
}

func (s *Site) execute(order drain.Order, l *listeners, log *logrus.Entry, deadline time.Time) {
	switch order {
	case drain.Unready:
		s.relay.Drain(time.Now().Add(settleTime), deadline.Add(-drain.CutLead-responseMargin))
		s.exchange.PublishNow(time.Now())
	case drain.CloseIdle:
		l.callers.SetKeepAlivesEnabled(false)
	case drain.HandOver:
		// Requests with opaque bodies can't be handed over to another instance.
	case drain.End:
		finishServer(log, l.callers, deadline)
		closeServer(log, l.ready)
	case drain.Cut:
		closeServer(log, l.callers)
		closeServer(log, l.ready)
	}
}
