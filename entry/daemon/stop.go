package daemon

import (
	"context"
	"time"

	"github.com/sirupsen/logrus"
)

const (
	// settleTime is how long new requests are still answered after readiness went off, so
	// that the balancer notices first.
	settleTime = 1500 * time.Millisecond
	// stopPeriod is the time between two looks at what is still in flight.
	stopPeriod = 50 * time.Millisecond
	// handOverLead is the time before a deadline at which requests are handed over.
	handOverLead = 3 * time.Second
	// cutLead is the time before a deadline at which callers' connections break off.
	cutLead = 300 * time.Millisecond
	// longestStop bounds a planned stop without a deadline.
	longestStop = 15 * time.Minute
)

// stop ends the work of this instance: it takes no more requests, answers those in
// flight, and hands over what won't end in time. A deadline of zero means that the
// process may stay until all are answered.
func (d *Daemon) stop(s *servers, deadline time.Time) {
	log := d.entry("daemon")
	now := time.Now()
	log.WithFields(logrus.Fields{"in_flight": d.gateway.InFlight(), "deadline": deadline}).Info("daemon: leaving")
	if deadline.IsZero() {
		deadline = now.Add(longestStop)
	}
	d.gateway.Drain(true)
	d.tellLocal(now)
	d.send(d.members.Tick(now))
	settled := earlier(now.Add(settleTime), deadline.Add(-cutLead))
	_ = pause(context.Background(), time.Until(settled))
	s.callers.SetKeepAlivesEnabled(false)
	handOver := earlier(now.Add(d.set.Stop.Grace()), deadline.Add(-handOverLead))
	if !d.waitIdle(handOver) {
		log.WithField("requests", d.gateway.HandOver()).Info("daemon: requests handed over")
	}
	if !d.waitIdle(deadline.Add(-cutLead)) {
		log.WithField("in_flight", d.gateway.InFlight()).Warn("daemon: callers sent to other instances")
		d.gateway.Cut()
	}
	d.close(s, deadline)
	log.Info("daemon: stopped")
}

func earlier(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}

// waitIdle waits until no caller waits for an answer, and reports whether that came
// before a time.
func (d *Daemon) waitIdle(until time.Time) bool {
	for d.gateway.InFlight() > 0 || d.gateway.Runs() > 0 {
		if !time.Now().Before(until) {
			return false
		}
		time.Sleep(stopPeriod)
	}
	return true
}

func (d *Daemon) close(s *servers, deadline time.Time) {
	ctx, cancel := context.WithDeadline(context.Background(), earlier(deadline, time.Now().Add(2*time.Second)))
	defer cancel()
	_ = s.callers.Shutdown(ctx)
	_ = s.administration.Shutdown(ctx)
	_ = s.callers.Close()
	_ = s.administration.Close()
}
