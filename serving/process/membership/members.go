package membership

import (
	"slices"
	"strings"
	"time"
)

// Status is a member with its liveness.
type Status struct {
	Member
	Live     bool
	Draining bool
	Leaving  bool
	// LastHeartbeat is the time of the last heartbeat, received directly or from others; zero if there
	// was none.
	LastHeartbeat time.Time
	// Unreachable is set if there was no heartbeat and a call to the member failed.
	Unreachable bool
}

// beatStride is the smallest advance of a heartbeat count that is gossiped, in seconds.
const beatStride = 2

type member struct {
	Member
	incarnationHash uint64
	memberID        uint32
	heartbeatCount  uint32
	draining        bool
	listed          bool
	addedAt         time.Time
	lastHeard       time.Time
	failedAt        time.Time
	configVersion   uint64 // its configuration version
	gossipedCount   uint32 // the last gossiped heartbeat count
	beatsSent       int
	fullSent        int
}

// heartbeat updates the liveness from a heartbeat count. An old count, from a reordered or
// duplicated message, is ignored.
func (m *member) heartbeat(now time.Time, count uint32, draining bool) {
	if count <= m.heartbeatCount && !m.lastHeard.IsZero() {
		return
	}
	m.heartbeatCount = count
	m.draining = draining
	m.lastHeard = now
	if count >= m.gossipedCount+beatStride || draining {
		m.gossipedCount = count
		m.beatsSent = 0
	}
}

// addMember adds a member or a newer incarnation of it. It returns nil for this instance and for
// an incarnation that a newer one has replaced.
func (t *Table) addMember(now time.Time, m Member, listed bool) *member {
	if m.Instance == t.self.Instance || m.Instance == "" {
		return nil
	}
	known := t.members[m.Instance]
	if known != nil && known.Incarnation > m.Incarnation {
		return nil
	}
	if known != nil && known.Incarnation == m.Incarnation {
		known.listed = known.listed || listed
		return known
	}
	if known != nil {
		t.drop(known)
	}
	added := &member{
		Member: m, incarnationHash: incarnationHash(m.Instance, m.Incarnation), memberID: m.id(),
		addedAt: now, listed: listed, fullSent: maxRelays,
	}
	t.members[m.Instance] = added
	t.byID[added.memberID] = added
	index, _ := slices.BinarySearchFunc(t.sorted, m.Instance, byInstance)
	t.sorted = slices.Insert(t.sorted, index, added)
	return added
}

// drop removes a member and its usage records.
func (t *Table) drop(m *member) {
	delete(t.members, m.Instance)
	delete(t.byID, m.memberID)
	if index, found := slices.BinarySearchFunc(t.sorted, m.Instance, byInstance); found {
		t.sorted = slices.Delete(t.sorted, index, index+1)
	}
	for key := range t.uses {
		if key.level == OriginLevel && key.speaker == m.memberID {
			delete(t.uses, key)
		}
	}
}

func (t *Table) mergeHeartbeat(now time.Time, beat Heartbeat) {
	m := t.byID[beat.ID]
	if m == nil {
		t.wantMembers = wantMembersExchanges
		return
	}
	m.heartbeat(now, beat.Count, beat.Draining)
}

// hasUnknownMembers reports whether a roster contains an unknown member. Two members of one
// failure domain that don't know each other both aggregate for the domain; the roster of the
// other one, relayed by a third member, is then the only way to discover it.
func (t *Table) hasUnknownMembers(roster *UsageRecord) bool {
	for _, id := range roster.Live {
		if id != t.id && t.byID[id] == nil {
			return true
		}
	}
	return false
}

// mergeRoster marks the members in the roster of another failure domain as live at the time of
// the roster.
func (t *Table) mergeRoster(createdAt time.Time, roster *UsageRecord) {
	for _, id := range roster.Live {
		m := t.byID[id]
		if m == nil {
			continue
		}
		if createdAt.After(m.lastHeard) {
			m.lastHeard = createdAt
			m.draining = slices.Contains(roster.Draining, id)
		}
	}
}

// roster returns the record of the live members of this failure domain.
func (t *Table) roster(now time.Time) UsageRecord {
	use := UsageRecord{Level: RosterLevel, Domain: t.domain, Live: []uint32{t.id}}
	if t.local.Draining {
		use.Draining = append(use.Draining, t.id)
	}
	for _, m := range t.sorted {
		if !t.sameDomain(m) || !t.live(now, m) {
			continue
		}
		use.Live = append(use.Live, m.memberID)
		if m.draining {
			use.Draining = append(use.Draining, m.memberID)
		}
	}
	return use
}

func (t *Table) sameDomain(m *member) bool {
	return m.FailureDomain == t.self.FailureDomain && m.Region == t.self.Region
}

func (t *Table) live(now time.Time, m *member) bool {
	if m.lastHeard.IsZero() {
		return false
	}
	if t.sameDomain(m) {
		return now.Sub(m.lastHeard) <= localSilence
	}
	return now.Sub(m.lastHeard) <= remoteSilence
}

// prune deletes expired members and records.
func (t *Table) prune(now time.Time) {
	for _, m := range slices.Clone(t.sorted) {
		last := m.lastHeard
		if last.IsZero() {
			last = m.addedAt
		}
		if !m.listed && now.Sub(last) > memberRetention {
			t.drop(m)
		}
	}
	t.pruneLeaving(now)
	t.pruneLimits(now)
	t.pruneUses(now)
}

func byInstance(m *member, instance string) int { return strings.Compare(m.Instance, instance) }

// Members returns all known members except this instance, sorted by instance.
func (t *Table) Members(now time.Time) []Status {
	t.mu.Lock()
	defer t.mu.Unlock()
	all := make([]Status, 0, len(t.members))
	for _, m := range t.sorted {
		all = append(all, Status{
			Member:        m.Member,
			Live:          t.live(now, m),
			Draining:      m.draining,
			Leaving:       t.leaving[m.incarnationHash] != nil,
			LastHeartbeat: m.lastHeard,
			Unreachable:   m.lastHeard.IsZero() && !m.failedAt.IsZero(),
		})
	}
	return all
}

// Live returns the live members that are neither draining nor leaving, except this instance,
// sorted by instance.
func (t *Table) Live(now time.Time) []Member {
	var live []Member
	for _, status := range t.Members(now) {
		if status.Live && !status.Draining && !status.Leaving {
			live = append(live, status.Member)
		}
	}
	return live
}

// Reachable returns the members that can be called, except this instance, sorted by instance:
// the live ones, and those added recently to which no call has failed. Instances of a new fleet
// that have the same instance list thus return the same members before the first heartbeats.
// Draining and leaving members are excluded.
func (t *Table) Reachable(now time.Time) []Member {
	t.mu.Lock()
	defer t.mu.Unlock()
	var reachable []Member
	for _, m := range t.sorted {
		if t.reachableNow(now, m) && !m.draining && t.leaving[m.incarnationHash] == nil {
			reachable = append(reachable, m.Member)
		}
	}
	return reachable
}
