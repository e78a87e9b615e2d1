package daemon

import (
	"context"
	"time"

	"github.com/sirupsen/logrus"

	"papayaport.dev/serving/process/drain"
)

const (
	// stopPeriod is the interval between two steps of a graceful shutdown.
	stopPeriod = 50 * time.Millisecond
	// closeTimeout is the timeout for closing the HTTP servers.
	closeTimeout = 2 * time.Second
)

// shutDown shuts the instance down gracefully: it becomes unready, answers the requests in flight
// and hands over the model requests that do not finish in time. A zero deadline means
// that only the configured grace period applies.
func (d *Daemon) shutDown(s *servers, deadline time.Time) {
	log := d.logEntry("daemon")
	log.WithFields(logrus.Fields{"in_flight": d.gateway.InFlight(), "deadline": deadline}).Info("daemon: graceful shutdown started")
	shutdown := drain.New(time.Now(), drain.Limits{Grace: d.settings.Stop.Grace(), Deadline: deadline})
	leave := d.leaveSignal
	for !shutdown.Ended() {
		select {
		case <-leave:
			shutdown.Shorten(d.leaveDeadline)
			leave = nil
		default:
		}
		load := drain.Load{Callers: d.gateway.InFlight(), Runs: d.gateway.Runs()}
		for _, order := range shutdown.Step(time.Now(), load) {
			log.WithFields(logrus.Fields{"order": order, "in_flight": load.Callers}).Info("daemon: shutdown step")
			d.execute(order, s)
		}
		time.Sleep(stopPeriod)
	}
	log.Info("daemon: stopped")
}

func (d *Daemon) execute(order drain.Order, s *servers) {
	switch order {
	case drain.Unready:
		d.gateway.Drain(true)
		now := time.Now()
		d.exchange.PublishNow(now)
	case drain.CloseIdle:
		s.callers.SetKeepAlivesEnabled(false)
	case drain.HandOver:
		d.gateway.HandOver()
	case drain.Cut:
		d.gateway.DisconnectCallers()
	case drain.End:
		d.close(s)
	}
}

func (d *Daemon) close(s *servers) {
	ctx, cancel := context.WithTimeout(context.Background(), closeTimeout)
	defer cancel()
	_ = s.callers.Shutdown(ctx)
	_ = s.administration.Shutdown(ctx)
	_ = s.callers.Close()
	_ = s.administration.Close()
}
