package site

import (
	"context"
	"encoding/json"
	"maps"
	"time"

	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"

	"papayaport.dev/serving/process/clock"
	"papayaport.dev/serving/process/departure"
	"papayaport.dev/serving/process/generation"
	"papayaport.dev/serving/process/platform/store"
	"papayaport.dev/serving/process/usage"
)

const (
	// reportsKey is the key of the usage sums that were fixed for reports.
	reportsKey = ownPrefix + "usage"
	// dutyPeriod is the interval between rounds of the duties.
	dutyPeriod = 500 * time.Millisecond
	// reportAfter is the delay after a window's end before its counts are summed up, so that
	// all instances have written their records.
	reportAfter = 2500 * time.Millisecond
	// reportWithin is how long after its end a window is still reported.
	reportWithin = 30 * time.Second
	// keptSums is the number of windows whose fixed sums are retained: twice those that a holder
	// may still report, to allow for holders whose clock is behind.
	keptSums = 2 * keptWindows
	// callTimeout bounds one call of a duty.
	callTimeout = time.Second
)

// duty is the state of the holder of the duties.
type duty struct {
	fencing uint64
	// reported is the last window that was reported or skipped.
	reported int64
	// fixed holds the sums that were fixed and not reported yet, by window.
	fixed map[int64]usage.Counts
	// records detects instances that are gone permanently.
	records departure.Watch
}

// runDuties performs the duties while this instance holds the lease.
func (s *Site) runDuties(ctx context.Context) error {
	var d duty
	return clock.Every(ctx, dutyPeriod, func(ctx context.Context, _ time.Time) {
		s.observeGeneration()
		fencing, held := s.leases.Held(dutyLease)
		if !held || s.relay.Draining() {
			return
		}
		if d.fencing != fencing {
			s.logger("duties").WithField("fencing", fencing).Info("duties: taken over")
			d = duty{fencing: fencing}
			s.planner.Reset()
			s.ordered = map[orderedKind]orderedCount{}
		}
		// Orders come first: several windows may be due, and each report takes a call.
		s.orderServers(ctx, d.fencing)
		s.reportUsage(ctx, &d)
		s.removeGoneRecords(ctx, &d)
	})
}

// stillHolds reports whether this instance still holds the lease with the given fencing token.
// It is checked right before each external call, since earlier calls may have taken long.
func (s *Site) stillHolds(fencing uint64) bool {
	s.observeGeneration()
	now, held := s.leases.Held(dutyLease)
	return held && now == fencing
}

// removeGoneRecords removes the records of instances that are gone permanently, so that no
// parts of limits and budgets are reserved for them.
func (s *Site) removeGoneRecords(ctx context.Context, d *duty) {
	held := s.view.Load()
	if held == nil || clock.Boot().Sub(held.at) > recordTransferPeriod {
		return // the view is too old
	}
	live := map[string]bool{s.settings.Instance: true}
	for _, status := range s.members.Members(time.Now()) {
		live[status.Instance] = status.Live
	}
	s.mu.Lock()
	var records []departure.Record
	for _, r := range s.records {
		records = append(records, departure.Record{Instance: r.instance, Revision: r.revision, Live: live[r.instance]})
	}
	s.mu.Unlock()
	for _, gone := range d.records.Scan(clock.Boot(), records) {
		if !s.stillHolds(d.fencing) {
			return
		}
		log := s.logger("record").WithFields(logrus.Fields{"gone": gone.Instance, "revision": gone.Revision})
		limited, cancel := context.WithTimeout(ctx, callTimeout)
		err := s.platform.Store.Remove(limited, entriesPrefix+gone.Instance, gone.Revision)
		cancel()
		if err != nil {
			log.WithError(err).Warn("record: of a gone instance not removed, tried again")
			return
		}
		s.usageReports.Forget(gone.Instance)
		s.loadReports.forget(gone.Instance)
		log.Info("record: of a gone instance removed")
	}
}

// dueWindows returns the windows after the last reported one that are due, oldest first. A new
// holder has reported none: it repeats windows that its predecessor may have reported, which is
// idempotent since fixed sums do not change.
func (s *Site) dueWindows(now time.Time, reported int64) []int64 {
	oldest := max(reported+1, s.usage.Number(now.Add(-reportWithin)))
	var due []int64
	for number := oldest; number < s.usage.Number(now.Add(-reportAfter)); number++ {
		due = append(due, number)
	}
	return due
}

// reportUsage fixes the sums of the due windows and reports them, oldest first.
func (s *Site) reportUsage(ctx context.Context, d *duty) {
	due := s.dueWindows(s.calendar.Now(), d.reported)
	if len(due) == 0 {
		return
	}
	log := s.logger("duties")
	if d.reported > 0 && due[0] > d.reported+1 {
		log.WithFields(logrus.Fields{"from": d.reported + 1, "to": due[0] - 1}).Warn("duties: windows skipped, too old")
	}
	if _, found := d.fixed[due[len(due)-1]]; !found {
		fixed, err := s.fixWindows(ctx, due)
		if err != nil {
			log.WithError(err).WithField("window", due[0]).Warn("duties: sums of windows not fixed, will be retried")
			return
		}
		d.fixed = fixed
	}
	for _, number := range due {
		counts, found := d.fixed[number]
		if !found {
			log.WithField("window", number).Warn("duties: window skipped, its report may have been lost with an earlier generation of the store")
		} else if !s.reportWindow(ctx, d.fencing, usage.Window{Number: number, Counts: counts}) {
			return
		}
		d.reported = number
		delete(d.fixed, number)
	}
}

// reportWindow reports the sum of a window. It returns false if the report has to be retried.
func (s *Site) reportWindow(ctx context.Context, fencing uint64, window usage.Window) bool {
	if !s.stillHolds(fencing) {
		return false
	}
	log := s.logger("duties").WithField("window", window.Number)
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	if err := s.platform.Duties.Report(ctx, s.duty(fencing), window); err != nil {
		log.WithError(err).Warn("duties: window not reported, will be retried")
		return false
	}
	log.WithFields(logrus.Fields{"counts": window.Counts, "fencing": fencing}).Info("duties: window reported")
	return true
}

// fixWindows fixes the counts of windows by one conditional write. Counts that were fixed
// before do not change, also if the store has lost them since. A window is left out if it may have been
// reported in an earlier generation of the store and no instance knows its counts. All windows use the
// same read of the records and the same round of queries, so that a takeover costs no more than a
// single window.
func (s *Site) fixWindows(ctx context.Context, numbers []int64) (map[int64]usage.Counts, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	entry, err := s.platform.Store.Get(ctx, reportsKey)
	kept := map[int64]usage.Counts{}
	switch {
	case errors.Is(err, store.ErrNotFound):
	case err != nil:
		return nil, err
	default:
		if err := json.Unmarshal(entry.Value, &kept); err != nil {
			return nil, errors.Wrap(err, "fixed sums")
		}
	}
	var marker generation.Marker
	if s.observeGeneration() > 0 {
		if marker, err = s.generationMarker(ctx); err != nil {
			return nil, err
		}
	}
	s.addFixedSums(kept)
	fixed := map[int64]usage.Counts{}
	var missing []int64
	for _, number := range numbers {
		if counts, found := kept[number]; found {
			fixed[number] = counts
		} else {
			missing = append(missing, number)
		}
	}
	if len(missing) == 0 {
		return fixed, nil
	}
	sums, err := s.sumWindows(ctx, missing)
	if err != nil {
		return nil, err
	}
	for number, counts := range sums {
		if known, found := s.fixedSums.Sum(number); found {
			counts = known
		} else if marker.ActedBefore(s.usage.End(number).Add(reportAfter), s.leaseTTL()) {
			continue
		}
		kept[number], fixed[number] = counts, counts
	}
	newest := numbers[len(numbers)-1]
	maps.DeleteFunc(kept, func(other int64, _ usage.Counts) bool { return other <= newest-keptSums })
	value, err := json.Marshal(kept)
	if err != nil {
		return nil, errors.Wrap(err, "encode sums")
	}
	if _, err := s.platform.Store.Put(ctx, reportsKey, value, entry.Revision); err != nil {
		// The next attempt reads the stored sums, whichever instance wrote them.
		return nil, err
	}
	s.addFixedSums(kept)
	return fixed, nil
}

// addFixedSums adds sums that an instance has fixed.
func (s *Site) addFixedSums(sums map[int64]usage.Counts) {
	if conflicts := s.fixedSums.Add(sums); len(conflicts) > 0 {
		s.logger("duties").WithField("windows", conflicts).Error("duties: two sums of a window were fixed, the first one stays")
	}
}

// sumWindows sums up the counts of windows that all entry instances wrote or reported.
func (s *Site) sumWindows(ctx context.Context, numbers []int64) (map[int64]usage.Counts, error) {
	entries, err := s.platform.Store.List(ctx, entriesPrefix)
	if err != nil {
		return nil, err
	}
	// A new holder has received no reports yet.
	s.queryLoads(ctx, true)
	written := map[string]map[int64]usage.Counts{}
	for _, instance := range s.usageReports.Instances() {
		written[instance] = nil
	}
	for _, r := range s.setEntries(entries.Entries) {
		written[r.instance] = r.Usage
	}
	sums := map[int64]usage.Counts{}
	for _, number := range numbers {
		var all []usage.Counts
		for instance, windows := range written {
			all = append(all, s.usageReports.Counts(instance, number, windows[number]))
		}
		sums[number] = usage.Sum(all)
	}
	return sums, nil
}

func (s *Site) duty(fencing uint64) Duty { return Duty{Holder: s.settings.Instance, Fencing: fencing} }
