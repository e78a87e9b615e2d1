package membership

import (
	"cmp"
	"fmt"
	"slices"
	"time"
)

// hearUse takes in a record of another instance if it is of use here and newer.
func (t *Table) hearUse(now time.Time, use Use) {
	age := time.Duration(use.AgeMS) * time.Millisecond
	if use.Speaker == t.id || age > keepUses || !t.concerns(&use) {
		return
	}
	if use.Level == RosterLevel && t.namesUnknown(&use) {
		t.wants = wantsExchanges
	}
	key := use.key()
	made := now.Add(-age)
	if known := t.uses[key]; known != nil {
		if known.use.Speaker == use.Speaker && known.use.Sequence >= use.Sequence {
			return
		}
		if known.use.Speaker != use.Speaker && !made.After(known.made) {
			known.disputed = true
			return
		}
	}
	if t.cutLater(key, made) {
		return
	}
	t.replace(key, &useState{use: use, made: made})
	if use.Level == RosterLevel && use.Domain != t.domain {
		t.hearRoster(made, &use)
	}
}

// concerns tells whether a record belongs to this cell, failure domain or everywhere.
func (t *Table) concerns(use *Use) bool {
	switch use.Level {
	case OriginLevel:
		m := t.byID[use.Speaker]
		return m != nil && t.home(m) && cell(m.memberID, t.cells) == cell(t.id, t.cells)
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
		if stray || now.Sub(state.made) > keepUses {
			delete(t.uses, key)
		}
	}
}

// addHave names the records that the peer may have newer.
func (t *Table) addHave(now time.Time, m *Message, to *member, size int) int {
	for _, key := range t.usefulKeys(now, func(key useKey) bool { return t.useful(key, to) }) {
		state := t.uses[key]
		age := now.Sub(state.made) / (100 * time.Millisecond)
		m.Have = append(m.Have, Have{Key: state.hash(), Age: uint32(age)})
		size += haveBytes
	}
	return size
}

// addUses adds the records that the peer can use and does not have as new, in random
// order until the message is full.
func (t *Table) addUses(now time.Time, m *Message, to *member, have []Have, size, limit int) int {
	ages := make(map[uint32]time.Duration, len(have))
	for _, h := range have {
		ages[h.Key] = time.Duration(h.Age) * 100 * time.Millisecond
	}
	keys := t.usefulKeys(now, func(key useKey) bool { return t.useful(key, to) })
	t.random.Shuffle(len(keys), func(i, j int) { keys[i], keys[j] = keys[j], keys[i] })
	slices.SortStableFunc(keys, rostersFirst)
	for _, key := range keys {
		state := t.uses[key]
		age := now.Sub(state.made)
		theirs, known := ages[state.hash()]
		if known && age+newerBy > theirs || size+state.use.size() > limit {
			continue
		}
		size += state.use.size()
		use := state.use
		use.AgeMS = uint32(age.Milliseconds())
		m.Uses = append(m.Uses, use)
	}
	return size
}

func rostersFirst(a, b useKey) int {
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

// addOwn adds the records that this instance speaks for, for the peer that sums them up.
func (t *Table) addOwn(now time.Time, m *Message, level uint8, size, limit int) int {
	for _, key := range t.usefulKeys(now, func(key useKey) bool { return key.level == level }) {
		state := t.uses[key]
		if state.use.Speaker != t.id || size+state.use.size() > limit {
			continue
		}
		size += state.use.size()
		use := state.use
		use.AgeMS = uint32(now.Sub(state.made).Milliseconds())
		m.Uses = append(m.Uses, use)
	}
	return size
}

// usefulKeys returns the sorted keys of the present records that match.
func (t *Table) usefulKeys(now time.Time, matches func(useKey) bool) []useKey {
	var keys []useKey
	for key, state := range t.uses {
		if now.Sub(state.made) <= keepUses && matches(key) {
			keys = append(keys, key)
		}
	}
	slices.SortFunc(keys, useKey.compare)
	return keys
}

// hash names a record by its key and its speaker. The records of two speakers are told
// apart by their ages where they meet.
func (s *useState) hash() uint32 {
	u := &s.use
	return subject(fmt.Sprint(u.Level, u.Domain, u.Cells, u.Cell, u.Speaker, u.Parts, u.Part))
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

// useful tells whether a record is passed on to a peer. Within a failure domain of a
// large fleet that is what concerns the domain alone; sums and rosters of domains travel
// between domains.
func (t *Table) useful(key useKey, to *member) bool {
	ofDomain := key.level == DomainLevel || key.level == RosterLevel
	switch {
	case to == nil || !t.home(to):
		return ofDomain
	case key.level == OriginLevel:
		return cell(to.memberID, t.cells) == cell(t.id, t.cells)
	case ofDomain && t.small():
		return true
	}
	return key.domain == t.domain
}
