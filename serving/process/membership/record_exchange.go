package membership

import (
	"cmp"
	"fmt"
	"slices"
	"time"
)

// mergeUse stores a record of another instance if it is relevant here and newer.
func (t *Table) mergeUse(now time.Time, use UsageRecord) {
	age := time.Duration(use.AgeMS) * time.Millisecond
	if use.Speaker == t.id || age > useTTL || !t.relevant(&use) {
		return
	}
	if use.Level == RosterLevel && t.hasUnknownMembers(&use) {
		t.wantMembers = wantMembersExchanges
	}
	key := use.key()
	createdAt := now.Add(-age)
	if known := t.uses[key]; known != nil {
		if known.use.Speaker == use.Speaker && known.use.Sequence >= use.Sequence {
			return
		}
		if known.use.Speaker != use.Speaker && !createdAt.After(known.createdAt) {
			known.disputed = true
			return
		}
	}
	if t.splitLater(key, createdAt) {
		return
	}
	t.replace(key, &useState{use: use, createdAt: createdAt})
	if use.Level == RosterLevel && use.Domain != t.domain {
		t.mergeRoster(createdAt, &use)
	}
}

// relevant reports whether a record is replicated to this instance by its level.
func (t *Table) relevant(use *UsageRecord) bool {
	switch use.Level {
	case OriginLevel:
		m := t.byID[use.Speaker]
		return m != nil && t.sameDomain(m) && cell(m.memberID, t.cells) == cell(t.id, t.cells)
	case CellLevel:
		return use.Domain == t.domain
	default:
		return use.Level == DomainLevel || use.Level == RosterLevel
	}
}

func (t *Table) pruneUses(now time.Time) {
	cells := t.cells
	for key, state := range t.uses {
		stray := key.level == OriginLevel && cell(key.speaker, cells) != cell(t.id, cells)
		if stray || now.Sub(state.createdAt) > useTTL {
			delete(t.uses, key)
		}
	}
}

// addHave adds the keys and ages of the records of which the peer may have newer versions.
func (t *Table) addHave(now time.Time, m *Message, to *member, size int) int {
	for _, key := range t.matchingKeys(now, func(key useKey) bool { return t.relevantTo(key, to) }) {
		state := t.uses[key]
		age := now.Sub(state.createdAt) / (100 * time.Millisecond)
		m.RecordAges = append(m.RecordAges, RecordAge{Key: state.hash(), Age: uint32(age)})
		size += haveBytes
	}
	return size
}

// addUses adds the records that are relevant to the peer and newer than its own, in random order
// until the message is full. Rosters come first.
func (t *Table) addUses(now time.Time, m *Message, to *member, have []RecordAge, size, limit int) int {
	ages := make(map[uint32]time.Duration, len(have))
	for _, h := range have {
		ages[h.Key] = time.Duration(h.Age) * 100 * time.Millisecond
	}
	keys := t.matchingKeys(now, func(key useKey) bool { return t.relevantTo(key, to) })
	t.random.Shuffle(len(keys), func(i, j int) { keys[i], keys[j] = keys[j], keys[i] })
	slices.SortStableFunc(keys, compareRostersFirst)
	for _, key := range keys {
		state := t.uses[key]
		age := now.Sub(state.createdAt)
		peerAge, known := ages[state.hash()]
		if known && age+minAgeDifference > peerAge || size+state.use.size() > limit {
			continue
		}
		size += state.use.size()
		use := state.use
		use.AgeMS = uint32(age.Milliseconds())
		m.UsageRecords = append(m.UsageRecords, use)
	}
	return size
}

func compareRostersFirst(a, b useKey) int {
	switch {
	case a.level == b.level:
		return 0
	case a.level == RosterLevel:
		return -1
	case b.level == RosterLevel:
		return 1
	}
	return 0
}

// addOwn adds this instance's own records of a level, for the peer that aggregates them.
func (t *Table) addOwn(now time.Time, m *Message, level uint8, size, limit int) int {
	for _, key := range t.matchingKeys(now, func(key useKey) bool { return key.level == level }) {
		state := t.uses[key]
		if state.use.Speaker != t.id || size+state.use.size() > limit {
			continue
		}
		size += state.use.size()
		use := state.use
		use.AgeMS = uint32(now.Sub(state.createdAt).Milliseconds())
		m.UsageRecords = append(m.UsageRecords, use)
	}
	return size
}

// matchingKeys returns the sorted keys of the unexpired records that match.
func (t *Table) matchingKeys(now time.Time, matches func(useKey) bool) []useKey {
	var keys []useKey
	for key, state := range t.uses {
		if now.Sub(state.createdAt) <= useTTL && matches(key) {
			keys = append(keys, key)
		}
	}
	slices.SortFunc(keys, useKey.compare)
	return keys
}

// hash identifies a record by its key and its speaker. Of the records of two speakers with the
// same key, the newer one is kept.
func (s *useState) hash() uint32 {
	u := &s.use
	return nameHash(fmt.Sprint(u.Level, u.Domain, u.Cells, u.Cell, u.Speaker, u.Parts, u.Part))
}

func (k useKey) compare(other useKey) int {
	return cmp.Or(
		cmp.Compare(k.level, other.level),
		cmp.Compare(k.domain, other.domain),
		cmp.Compare(k.cells, other.cells),
		cmp.Compare(k.cell, other.cell),
		cmp.Compare(k.speaker, other.speaker),
		cmp.Compare(k.parts, other.parts),
		cmp.Compare(k.part, other.part),
	)
}

// relevantTo reports whether a record is gossiped to a peer. Within a failure domain of a large
// fleet, only records of this domain are; the sums and rosters of domains are sent between
// domains.
func (t *Table) relevantTo(key useKey, to *member) bool {
	ofDomain := key.level == DomainLevel || key.level == RosterLevel
	switch {
	case to == nil || !t.sameDomain(to):
		return ofDomain
	case key.level == OriginLevel:
		return cell(to.memberID, t.cells) == cell(t.id, t.cells)
	case ofDomain && t.isSmall():
		return true
	}
	return key.domain == t.domain
}
