package site

import (
	"context"
	"encoding/json"
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/pkg/errors"

	"papayaport.dev/serving/process/clock"
	"papayaport.dev/serving/process/departure"
	"papayaport.dev/serving/process/generation"
	"papayaport.dev/serving/process/platform"
	"papayaport.dev/serving/process/platform/store"
	"papayaport.dev/serving/process/usage"
	"papayaport.dev/serving/request/quarantine"
	"papayaport.dev/serving/request/quota"
)

const (
	// entriesPrefix is the key prefix of the records of entry instances.
	entriesPrefix = ownPrefix + "entries/"
	// recordPeriod is the interval of checks for ended usage windows.
	recordPeriod = 250 * time.Millisecond
	// flushTimeout bounds the last write of a process; it fits into graceMargin.
	flushTimeout = 400 * time.Millisecond
	// keptWindows is the number of usage windows that a record retains.
	keptWindows = usage.KeptWindows
)

// record is the state of an entry instance that it writes to the store.
type record struct {
	Incarnation   uint64                 `json:"incarnation"`
	Region        string                 `json:"region"`
	FailureDomain string                 `json:"failure_domain"`
	PeerAddress   string                 `json:"peer_address"`
	CallerAddress string                 `json:"caller_address"`
	MemoryMB      int                    `json:"memory_mb,omitempty"`
	Usage         map[int64]usage.Counts `json:"usage,omitempty"`
	// InFlight holds the requests in flight at backend servers from this instance, and
	// TokensPerSecond the rate of admitted tokens, both by service as of the last write.
	InFlight        map[string]int     `json:"in_flight,omitempty"`
	TokensPerSecond map[string]float64 `json:"intake,omitempty"`
	// PrefillRates holds the learned prefill rate of a server in tokens per second, by service.
	PrefillRates map[string]float64 `json:"prefill_rates,omitempty"`
	// PoolDeficits holds upper bounds of what the pools at this instance lack, and StoredAtMS the
	// time of the last write in Unix milliseconds.
	PoolDeficits quota.Deficits `json:"pool_deficits,omitempty"`
	StoredAtMS   int64          `json:"stored_at,omitempty"`
	// Quarantine holds this instance's reports about prompts that crash backend servers.
	Quarantine *quarantine.Snapshot `json:"quarantine,omitempty"`

	// instance is the id of the instance, from the key.
	instance string
	// revision is the revision of the key.
	revision uint64
}

// recordState is the state of this instance's record.
type recordState struct {
	loaded bool
	dirty  bool
	usage  map[int64]usage.Counts
	// previous is the incarnation of the previous process, 0 for none.
	previous uint64
	// incomplete is set if the store may have lost what the previous process wrote last.
	incomplete bool
	// generation is that of the store in which the record was last written.
	generation uint64
	// writtenAt is when the last successful write was sent, by clock.Boot.
	writtenAt time.Time
	// deficits are upper bounds of what the pools at this instance lack.
	deficits *quota.DeficitLog
}

// runRecord writes this instance's record when a usage window ends, and refreshes it.
func (s *Site) runRecord(ctx context.Context) error {
	return clock.Every(ctx, recordPeriod, func(ctx context.Context, now time.Time) {
		s.logQuarantine(now)
		if !s.record.loaded {
			s.loadRecord(ctx)
		}
		for _, window := range s.usage.Ended(s.calendar.Now()) {
			s.addWindow(window)
		}
		if s.record.deficits.Observe(s.quota.TakeDeficits()) {
			s.record.dirty = true
		}
		if s.quarantine.TakeChanged(now) {
			s.record.dirty = true
		}
		if s.record.loaded && s.record.generation != s.observeGeneration() {
			s.record.deficits.Lost()
			s.record.dirty = true
		}
		if s.record.loaded && (s.record.dirty || clock.Boot().Sub(s.record.writtenAt) >= departure.RefreshPeriod) {
			s.writeRecord(ctx)
		}
	})
}

// Started counts a request that began to run.
func (s *Site) Started(account string) { s.usage.Began(s.calendar.Now(), account) }

// loadRecord loads what the previous process of this instance wrote. If the store may have lost it, this
// process gets nothing that depends on what the previous one has used.
func (s *Site) loadRecord(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	entry, err := s.platform.Store.Get(ctx, entriesPrefix+s.settings.Instance)
	if err != nil && !errors.Is(err, store.ErrNotFound) {
		s.logger("record").WithError(err).Warn("record: own record not read")
		return
	}
	var marker generation.Marker
	if s.observeGeneration() > 0 {
		var markerErr error
		if marker, markerErr = s.generationMarker(ctx); markerErr != nil {
			s.logger("record").WithError(markerErr).Warn("record: generation of the store not known, tried again")
			return
		}
	}
	s.record.incomplete = marker.MayHaveLost(s.calendar.Now(), s.usePeriod())
	old := record{}
	if errors.Is(err, store.ErrNotFound) {
		if !s.record.incomplete {
			s.budget.SkipInitialWait()
		}
	} else if err := json.Unmarshal(entry.Value, &old); err != nil {
		s.logger("record").WithError(err).Warn("record: own record can't be decoded, will be replaced")
	}
	s.record.previous = old.Incarnation
	s.record.loaded, s.record.dirty = true, true
	s.record.deficits.Inherit(clock.Boot(), old.PoolDeficits)
	if old.Quarantine != nil {
		s.quarantine.Inherit(time.Now(), *old.Quarantine)
	}
	for number, counts := range old.Usage {
		s.addWindow(usage.Window{Number: number, Counts: counts})
	}
}

// usePeriod is the period in which the use of limits and of the retry budget counts.
func (s *Site) usePeriod() time.Duration {
	return max(seconds(s.settings.Quota.WindowS)+startMargin, seconds(s.settings.Retry.WindowS))
}

// flushRecord writes the counts since the last window at the end of the process.
func (s *Site) flushRecord() {
	ctx, cancel := context.WithTimeout(context.Background(), flushTimeout)
	defer cancel()
	if !s.record.loaded {
		s.loadRecord(ctx)
	}
	for _, window := range s.usage.Unreturned() {
		s.addWindow(window)
	}
	if s.record.loaded && s.record.dirty {
		s.writeRecord(ctx)
	}
}

func (s *Site) addWindow(window usage.Window) {
	if s.record.usage == nil {
		s.record.usage = map[int64]usage.Counts{}
	}
	s.record.usage[window.Number] = usage.Sum([]usage.Counts{s.record.usage[window.Number], window.Counts})
	newest := slices.Max(slices.Collect(maps.Keys(s.record.usage)))
	maps.DeleteFunc(s.record.usage, func(number int64, _ usage.Counts) bool { return number <= newest-keptWindows })
	s.record.dirty = true
}

// writeRecord writes the record. The write is idempotent, so that a lost reply does not require a
// read.
func (s *Site) writeRecord(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	deficits := s.record.deficits.Due(clock.Boot())
	value, err := json.Marshal(record{
		Incarnation: s.incarnation(), Region: s.settings.Region, FailureDomain: s.settings.FailureDomain,
		PeerAddress: s.settings.AdvertisedPeers, CallerAddress: s.settings.Callers, MemoryMB: s.settings.MemoryMB, Usage: s.record.usage,
		InFlight: s.inFlight(), TokensPerSecond: s.intake.PerSecond(time.Now()), PrefillRates: s.prefillRates(),
		PoolDeficits: deficits, StoredAtMS: s.calendar.Now().UnixMilli(), Quarantine: s.ownQuarantine(),
	})
	if err != nil {
		s.logger("record").WithError(err).Error("record: not encoded")
		return
	}
	sentAt, before := clock.Boot(), s.observeGeneration()
	if _, err := s.platform.Store.Put(ctx, entriesPrefix+s.settings.Instance, value, store.AnyRevision); err != nil {
		s.logger("record").WithError(err).Warn("record: not written, tried again")
		return
	}
	if s.record.writtenAt.IsZero() && s.needsStartPayment() {
		s.startCredit.setDue()
		s.grantStartCredit()
	}
	if before != s.observeGeneration() {
		s.logger("record").Warn("record: may be lost with an earlier generation of the store, tried again")
		return
	}
	s.record.generation = before
	s.record.deficits.Stored(deficits)
	s.record.dirty, s.record.writtenAt = false, sentAt
	s.own.RecordWrite(sentAt)
}

// readFixedSums remembers the fixed sums of usage, in case that the store loses them.
func (s *Site) readFixedSums(entry platform.Entry) {
	if s.sumsRevision.Swap(entry.Revision) == entry.Revision {
		return
	}
	var sums map[int64]usage.Counts
	if err := json.Unmarshal(entry.Value, &sums); err != nil {
		s.logger("duties").WithError(err).Warn("duties: fixed sums can't be decoded, ignored")
		return
	}
	s.addFixedSums(sums)
}

// setEntries decodes and stores the records of all entry instances, and passes the instances to
// the membership.
func (s *Site) setEntries(own []platform.Entry) []record {
	var records []record
	var instances []platform.Instance
	for _, entry := range own {
		if entry.Key == reportsKey {
			s.readFixedSums(entry)
		}
		if !strings.HasPrefix(entry.Key, entriesPrefix) {
			continue
		}
		var r record
		if err := json.Unmarshal(entry.Value, &r); err != nil {
			s.logger("record").WithError(err).WithField("key", entry.Key).Warn("record: can't be decoded, ignored")
			continue
		}
		r.instance, r.revision = entry.Key[len(entriesPrefix):], entry.Revision
		records = append(records, r)
		if r.instance != s.settings.Instance {
			s.mergeQuarantine(r.Quarantine)
		}
		instances = append(instances, platform.Instance{
			ID: r.instance, Incarnation: r.Incarnation, Role: platform.EntryRole, Region: r.Region,
			FailureDomain: r.FailureDomain, PeerAddress: r.PeerAddress, Address: r.CallerAddress, MemoryMB: r.MemoryMB,
		})
	}
	s.members.MergeInstances(time.Now(), instances)
	s.mu.Lock()
	s.listed = max(len(records), 1)
	s.records = records
	s.mu.Unlock()
	s.grantStartCredit()
	s.setQuotaEntries()
	s.setHolders(records)
	return records
}
