package membership

import (
	"slices"
	"strings"
	"time"
)

// Status is a member with what is known of its life.
type Status struct {
	Member
	Live     bool
	Draining bool
	Leaving  bool
	// Heard is the last sign of life, direct or through others; zero when there was none.
	Heard time.Time
}

type member struct {
	Member
	name      uint64
	memberID  uint32
	count     uint32
	draining  bool
	listed    bool
	learnt    time.Time
	heard     time.Time
	failed    time.Time
	beatsSent int
	fullSent  int
}

// hear takes in a heartbeat count. An old count, reordered or doubled, is no sign of life.
func (m *member) hear(now time.Time, count uint32, draining bool) {
	if count <= m.count && !m.heard.IsZero() {
		return
	}
	m.count = count
	m.draining = draining
	m.heard = now
	m.beatsSent = 0
}

// learn adds a member or a newer incarnation of it. It returns nil for an incarnation
// that a newer one has replaced.
func (t *Table) learn(now time.Time, m Member, listed bool) *member {
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
	added := &member{Member: m, name: incarnationName(m.Instance, m.Incarnation), memberID: m.id(), learnt: now, listed: listed}
	t.members[m.Instance] = added
	t.byID[added.memberID] = added
	return added
}

// drop removes an incarnation and its use.
func (t *Table) drop(m *member) {
	delete(t.members, m.Instance)
	delete(t.byID, m.memberID)
	for key := range t.uses {
		if key.level == OriginLevel && key.speaker == m.memberID {
			delete(t.uses, key)
		}
	}
}

func (t *Table) hearBeat(now time.Time, beat Beat) {
	if m := t.byID[beat.ID]; m != nil {
		m.hear(now, beat.Count, beat.Draining)
	}
}

func (t *Table) home(m *member) bool {
	return m.FailureDomain == t.self.FailureDomain && m.Region == t.self.Region
}

func (t *Table) live(now time.Time, m *member) bool {
	if m.heard.IsZero() {
		return false
	}
	if t.home(m) {
		return now.Sub(m.heard) <= homeSilence
	}
	return now.Sub(m.heard) <= awaySilence
}

// forget drops members and records that are long gone.
func (t *Table) forget(now time.Time) {
	for _, m := range t.sorted() {
		last := m.heard
		if last.IsZero() {
			last = m.learnt
		}
		if !m.listed && now.Sub(last) > forgetAfter {
			t.drop(m)
		}
	}
	t.pruneLeaving(now)
	t.pruneUses(now)
}

// sorted returns the members by instance, so that runs with one seed are alike.
func (t *Table) sorted() []*member {
	all := make([]*member, 0, len(t.members))
	for _, m := range t.members {
		all = append(all, m)
	}
	slices.SortFunc(all, func(a, b *member) int { return strings.Compare(a.Instance, b.Instance) })
	return all
}

// Members returns all known members without this instance, sorted by instance.
func (t *Table) Members(now time.Time) []Status {
	t.mu.Lock()
	defer t.mu.Unlock()
	all := make([]Status, 0, len(t.members))
	for _, m := range t.sorted() {
		all = append(all, Status{
			Member:   m.Member,
			Live:     t.live(now, m),
			Draining: m.draining,
			Leaving:  t.leaving[m.name] != nil,
			Heard:    m.heard,
		})
	}
	return all
}

// Live returns the live members that are neither draining nor leaving, without this
// instance, sorted by instance.
func (t *Table) Live(now time.Time) []Member {
	var live []Member
	for _, status := range t.Members(now) {
		if status.Live && !status.Draining && !status.Leaving {
			live = append(live, status.Member)
		}
	}
	return live
}
