package site

import (
	"context"
	"encoding/json"
	"maps"
	"time"

	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"

	"papayaport.dev/serving/process/clock"
	"papayaport.dev/serving/process/platform/store"
	"papayaport.dev/serving/process/usage"
)

const (
	// reportsKey holds the sums that were fixed for reports.
	reportsKey = "papayaport/usage"
	// dutyPeriod is the time between two looks at what the duties ask for.
	dutyPeriod = 500 * time.Millisecond
	// reportAfter is how long after a window's end its counts are added up, so that the
	// records of all instances are there.
	reportAfter = 2500 * time.Millisecond
	// reportWithin is how long after its end a window is still worth a report.
	reportWithin = 30 * time.Second
	// callTimeout bounds one call of a duty.
	callTimeout = time.Second
)

// duty is the state of the holder of the duties.
type duty struct {
	fencing  uint64
	reported int64
	// reporting is the window that is being reported and is repeated until it is accepted.
	reporting *usage.Window
}

// runDuties does what one entry instance does for all, while it holds the lease.
func (s *Site) runDuties(ctx context.Context) error {
	var d duty
	return clock.Every(ctx, dutyPeriod, func(ctx context.Context, _ time.Time) {
		fencing, held := s.leases.Held(dutyLease)
		if !held || s.relay.Draining() {
			return
		}
		if d.fencing != fencing {
			s.part("duties").WithField("fencing", fencing).Info("duties: taken over")
			d = duty{fencing: fencing}
			s.planner.Forget()
		}
		s.reportUsage(ctx, &d)
		s.orderServers(ctx, d.fencing)
	})
}

// stillHolds asks anew right before an act, since a call may have taken long.
func (s *Site) stillHolds(fencing uint64) bool {
	now, held := s.leases.Held(dutyLease)
	return held && now == fencing
}

func (s *Site) reportUsage(ctx context.Context, d *duty) {
	now := time.Now()
	due := s.usage.Number(now.Add(-reportAfter)) - 1
	if d.reported == 0 {
		// Windows that ended before are repeated, in case that the holder before did not
		// get to them; the sums that were fixed stay the same.
		d.reported = s.usage.Number(now.Add(-reportWithin / 2))
	}
	for number := d.reported + 1; number <= due; number++ {
		if !s.reportWindow(ctx, d, number) {
			return
		}
		d.reported = number
	}
}

// reportWindow fixes the sum of a window and sends it. False asks for another try.
func (s *Site) reportWindow(ctx context.Context, d *duty, number int64) bool {
	log := s.part("duties").WithField("window", number)
	if time.Since(s.usage.End(number)) > reportWithin {
		log.Warn("duties: window given up, too old")
		return true
	}
	if d.reporting == nil || d.reporting.Number != number {
		window, err := s.fixWindow(ctx, number)
		if err != nil {
			log.WithError(err).Warn("duties: sum of the window not fixed, tried again")
			return false
		}
		d.reporting = &window
	}
	if !s.stillHolds(d.fencing) {
		return false
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	if err := s.platform.Duties.Report(ctx, s.duty(d.fencing), *d.reporting); err != nil {
		log.WithError(err).Warn("duties: window not reported, tried again")
		return false
	}
	log.WithFields(logrus.Fields{"counts": d.reporting.Counts, "fencing": d.fencing}).Info("duties: window reported")
	return true
}

// fixWindow decides the counts of a window by a conditional write, or returns what was
// decided before.
func (s *Site) fixWindow(ctx context.Context, number int64) (usage.Window, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	entries, err := s.platform.Store.List(ctx, entriesPrefix)
	if err != nil {
		return usage.Window{}, err
	}
	// A holder that has just taken over heard nothing yet.
	s.callRoll(ctx, true)
	written := map[string]usage.Counts{}
	for _, instance := range s.told.Instances() {
		written[instance] = nil
	}
	for _, r := range s.setEntries(entries.Entries) {
		written[r.instance] = r.Usage[number]
	}
	var all []usage.Counts
	for instance, counts := range written {
		all = append(all, s.told.Counts(instance, number, counts))
	}
	fixed := map[int64]usage.Counts{}
	entry, err := s.platform.Store.Get(ctx, reportsKey)
	switch {
	case errors.Is(err, store.ErrNotFound):
	case err != nil:
		return usage.Window{}, err
	default:
		if err := json.Unmarshal(entry.Value, &fixed); err != nil {
			return usage.Window{}, errors.Wrap(err, "fixed sums")
		}
	}
	if counts, found := fixed[number]; found {
		return usage.Window{Number: number, Counts: counts}, nil
	}
	window := usage.Window{Number: number, Counts: usage.Sum(all)}
	fixed[number] = window.Counts
	maps.DeleteFunc(fixed, func(other int64, _ usage.Counts) bool { return other <= number-keptWindows })
	value, err := json.Marshal(fixed)
	if err != nil {
		return usage.Window{}, errors.Wrap(err, "encode sums")
	}
	if _, err := s.platform.Store.Put(ctx, reportsKey, value, entry.Revision); err != nil {
		// The next try reads what stands there, whoever wrote it.
		return usage.Window{}, err
	}
	return window, nil
}

func (s *Site) duty(fencing uint64) Duty { return Duty{Holder: s.set.Instance, Fencing: fencing} }
