package daemon

import (
	"context"
	"time"

	"github.com/sirupsen/logrus"

	"papayaport.dev/serving/process/drain"
)

const (
	// stopPeriod is the time between two steps of a stop.
	stopPeriod = 50 * time.Millisecond
	// closeTime is the time in which the listeners close.
	closeTime = 2 * time.Second
)

// stop carries out a planned stop: no more new requests, answers for those in flight,
// hand-over of what won't end in time.
func (d *Daemon) stop(s *servers, deadline time.Time) {
	log := d.entry("daemon")
	log.WithFields(logrus.Fields{"in_flight": d.gateway.InFlight(), "deadline": deadline}).Info("daemon: leaving")
	machine := drain.New(time.Now(), drain.Limits{Grace: d.set.Stop.Grace(), Deadline: deadline})
	leave := d.leave
	for !machine.Ended() {
		select {
		case <-leave:
			machine.Shorten(d.leaveBy)
			leave = nil
		default:
		}
		load := drain.Load{Callers: d.gateway.InFlight(), Runs: d.gateway.Runs()}
		for _, order := range machine.Step(time.Now(), load) {
			log.WithFields(logrus.Fields{"order": order, "in_flight": load.Callers}).Info("daemon: step of the stop")
			d.carryOut(order, s)
		}
		time.Sleep(stopPeriod)
	}
	log.Info("daemon: stopped")
}

func (d *Daemon) carryOut(order drain.Order, s *servers) {
	switch order {
	case drain.Unready:
		d.gateway.Drain(true)
		now := time.Now()
		d.exchange.TellNow(now)
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
	ctx, cancel := context.WithTimeout(context.Background(), closeTime)
	defer cancel()
	_ = s.callers.Shutdown(ctx)
	_ = s.administration.Shutdown(ctx)
	_ = s.callers.Close()
	_ = s.administration.Close()
}
