package membership

import (
	"cmp"
	"math"
	"math/bits"
	"reflect"
	"slices"
	"time"
)

// Limits of use records.
const (
	// keepUses is how long a record counts after it was made.
	keepUses = 15 * time.Second
	// refreshUses is the longest time between two records of an unchanged part.
	refreshUses = 5 * time.Second
	// cellMembers is the largest mean number of members in a cell.
	cellMembers = 12
	// partSubjects is the largest mean number of backend servers and accounts in a part.
	partSubjects = 16
)

// useKey names a part. Speaker is set at the origin level only.
type useKey struct {
	level       uint8
	domain      uint32
	cells, cell uint16
	speaker     uint32
	parts, part uint16
}

type useState struct {
	use  Use
	made time.Time
	sent int
}

type sums struct {
	backends map[uint32]BackendSum
	accounts map[uint32]AccountSum
}

func newSums() *sums {
	return &sums{backends: make(map[uint32]BackendSum), accounts: make(map[uint32]AccountSum)}
}

func (s *sums) add(u *Use) {
	for _, b := range u.Backends {
		sum := s.backends[b.ID]
		s.backends[b.ID] = BackendSum{ID: b.ID, InFlight: sum.InFlight + b.InFlight, PrefillTokens: sum.PrefillTokens + b.PrefillTokens}
	}
	for _, a := range u.Accounts {
		sum := s.accounts[a.ID]
		s.accounts[a.ID] = AccountSum{
			ID:           a.ID,
			DeciRequests: sum.DeciRequests + a.DeciRequests,
			Tokens:       sum.Tokens + a.Tokens,
			InFlight:     sum.InFlight + a.InFlight,
		}
	}
}

func (u *Use) key() useKey {
	key := useKey{level: u.Level, parts: u.Parts, part: u.Part}
	switch u.Level {
	case OriginLevel:
		key.speaker = u.Speaker
	case CellLevel:
		key.domain, key.cells, key.cell = u.Domain, u.Cells, u.Cell
	default:
		key.domain = u.Domain
	}
	return key
}

// cells returns the number of cells in this failure domain, a power of two that follows
// the number of members.
func (t *Table) cells() uint16 {
	members := 1
	for _, m := range t.members {
		if t.home(m) && !m.heard.IsZero() {
			members++
		}
	}
	wanted := (members + cellMembers - 1) / cellMembers
	return 1 << bits.Len(uint(wanted-1))
}

func cell(id uint32, cells uint16) uint16 { return uint16(id>>8) & (cells - 1) }

// localSums returns the use of this instance.
func (t *Table) localSums() *sums {
	s := newSums()
	for _, b := range t.local.Backends {
		id := subject(b.Backend)
		s.backends[id] = BackendSum{ID: id, InFlight: whole(float64(b.InFlight)), PrefillTokens: whole(float64(b.PrefillTokens))}
	}
	for _, a := range t.local.Accounts {
		id := subject(a.Account)
		s.accounts[id] = AccountSum{
			ID:           id,
			DeciRequests: whole(a.RequestsPerSecond * 10),
			Tokens:       whole(a.TokensPerSecond),
			InFlight:     whole(float64(a.InFlight)),
		}
	}
	return s
}

func whole(v float64) uint32 {
	return uint32(math.Round(min(max(v, 0), math.MaxUint32)))
}

// issueUses makes the records that this instance speaks for.
func (t *Table) issueUses(now time.Time) {
	cells := t.cells()
	own := cell(t.id, cells)
	local := t.localSums()
	t.issue(now, Use{Level: OriginLevel, Domain: t.domain, Cells: cells, Cell: own}, local)
	inCell := t.sumCell(now, local)
	if cells > 1 && t.speaks(now, func(m *member) bool { return cell(m.memberID, cells) == own }) {
		t.issue(now, Use{Level: CellLevel, Domain: t.domain, Cells: cells, Cell: own}, inCell)
	}
	if t.speaks(now, func(*member) bool { return true }) {
		t.sumOtherCells(now, cells, own, inCell)
		t.issue(now, Use{Level: DomainLevel, Domain: t.domain, Cells: cells}, inCell)
	}
}

// speaks tells whether this instance has the lowest name of the live members of its
// failure domain that match.
func (t *Table) speaks(now time.Time, matches func(*member) bool) bool {
	for _, m := range t.members {
		if m.memberID < t.id && t.home(m) && t.live(now, m) && matches(m) {
			return false
		}
	}
	return true
}

// sumCell adds the use of the live members of this cell.
func (t *Table) sumCell(now time.Time, s *sums) *sums {
	total := newSums()
	for id, b := range s.backends {
		total.backends[id] = b
	}
	for id, a := range s.accounts {
		total.accounts[id] = a
	}
	for key, state := range t.uses {
		if key.level != OriginLevel || key.speaker == t.id || now.Sub(state.made) > keepUses {
			continue
		}
		if m := t.byID[key.speaker]; m != nil && t.live(now, m) {
			total.add(&state.use)
		}
	}
	return total
}

func (t *Table) sumOtherCells(now time.Time, cells, own uint16, total *sums) {
	for key, state := range t.uses {
		if key.level != CellLevel || key.domain != t.domain || key.cells != cells || key.cell == own {
			continue
		}
		if now.Sub(state.made) <= keepUses {
			total.add(&state.use)
		}
	}
}

// issue cuts sums into parts and stores those that changed or are due for a refresh.
func (t *Table) issue(now time.Time, head Use, s *sums) {
	count := (len(s.backends) + len(s.accounts) + partSubjects - 1) / partSubjects
	parts := uint16(1) << bits.Len(uint(max(count, 1)-1))
	cut := make([]Use, parts)
	for _, b := range s.backends {
		part := &cut[uint16(b.ID)&(parts-1)]
		part.Backends = append(part.Backends, b)
	}
	for _, a := range s.accounts {
		part := &cut[uint16(a.ID)&(parts-1)]
		part.Accounts = append(part.Accounts, a)
	}
	for i := range cut {
		use := head
		use.Speaker, use.Sequence = t.id, t.count
		use.Parts, use.Part = parts, uint16(i)
		use.Backends, use.Accounts = cut[i].Backends, cut[i].Accounts
		slices.SortFunc(use.Backends, func(a, b BackendSum) int { return cmp.Compare(a.ID, b.ID) })
		slices.SortFunc(use.Accounts, func(a, b AccountSum) int { return cmp.Compare(a.ID, b.ID) })
		t.store(now, use)
	}
}

// store keeps a record made here unless an equal one is fresh.
func (t *Table) store(now time.Time, use Use) {
	key := use.key()
	known := t.uses[key]
	if known != nil && known.use.Speaker == t.id && now.Sub(known.made) < refreshUses &&
		reflect.DeepEqual(known.use.Backends, use.Backends) && reflect.DeepEqual(known.use.Accounts, use.Accounts) {
		return
	}
	t.replace(key, &useState{use: use, made: now})
}

// replace keeps a record and drops those of the same whole cut into other parts.
func (t *Table) replace(key useKey, state *useState) {
	if t.uses[key] == nil {
		for other := range t.uses {
			same := other
			same.parts, same.part = key.parts, key.part
			if same == key && other.parts != key.parts {
				delete(t.uses, other)
			}
		}
	}
	t.uses[key] = state
}

// hearUse takes in a record of another instance if it is of use here and newer.
func (t *Table) hearUse(now time.Time, use Use) {
	age := time.Duration(use.AgeMS) * time.Millisecond
	if use.Speaker == t.id || age > keepUses || !t.wants(&use) {
		return
	}
	key := use.key()
	made := now.Add(-age)
	if known := t.uses[key]; known != nil {
		if known.use.Speaker == use.Speaker && known.use.Sequence >= use.Sequence {
			return
		}
		if known.use.Speaker != use.Speaker && !made.After(known.made) {
			return
		}
	}
	t.replace(key, &useState{use: use, made: made})
}

// wants tells whether a record belongs to this cell, failure domain or everywhere.
func (t *Table) wants(use *Use) bool {
	switch use.Level {
	case OriginLevel:
		m := t.byID[use.Speaker]
		cells := t.cells()
		return m != nil && t.home(m) && cell(m.memberID, cells) == cell(t.id, cells)
	case CellLevel:
		return use.Domain == t.domain
	default:
		return use.Level == DomainLevel
	}
}

func (t *Table) pruneUses(now time.Time) {
	cells := t.cells()
	for key, state := range t.uses {
		stray := key.level == OriginLevel && cell(key.speaker, cells) != cell(t.id, cells)
		if stray || now.Sub(state.made) > keepUses {
			delete(t.uses, key)
		}
	}
}

// addUses adds the records that the peer can use, least sent and newest first.
func (t *Table) addUses(now time.Time, m *Message, to *member, size, limit int) int {
	cells := t.cells()
	var fresh []*useState
	for key, state := range t.uses {
		if state.sent < relays && now.Sub(state.made) <= keepUses && t.useful(key, to, cells) {
			fresh = append(fresh, state)
		}
	}
	slices.SortFunc(fresh, func(a, b *useState) int {
		if a.sent != b.sent {
			return a.sent - b.sent
		}
		if c := b.made.Compare(a.made); c != 0 {
			return c
		}
		if a.use.Level != b.use.Level {
			return int(b.use.Level) - int(a.use.Level)
		}
		if a.use.Speaker != b.use.Speaker {
			return cmp.Compare(a.use.Speaker, b.use.Speaker)
		}
		return int(a.use.Part) - int(b.use.Part)
	})
	for _, state := range fresh {
		if size+state.use.size() > limit {
			continue
		}
		size += state.use.size()
		state.sent++
		use := state.use
		use.AgeMS = uint32(now.Sub(state.made).Milliseconds())
		m.Uses = append(m.Uses, use)
	}
	return size
}

func (t *Table) useful(key useKey, to *member, cells uint16) bool {
	if key.level == DomainLevel {
		return true
	}
	if to == nil || !t.home(to) {
		return false
	}
	return key.level == CellLevel || cell(to.memberID, cells) == cell(t.id, cells)
}

// Totals returns the use of all the other entry instances together, as far as heard of
// lately. Backend servers and accounts whose names are not known here are left out.
func (t *Table) Totals(now time.Time) Totals {
	t.mu.Lock()
	defer t.mu.Unlock()
	totals := Totals{ByBackend: make(map[string]BackendUse), ByAccount: make(map[string]AccountUse)}
	for _, m := range t.members {
		if t.live(now, m) {
			totals.Entries++
		}
	}
	cells := t.cells()
	all := t.sumCell(now, newSums())
	t.sumOtherCells(now, cells, cell(t.id, cells), all)
	for key, state := range t.uses {
		if key.level == DomainLevel && key.domain != t.domain && now.Sub(state.made) <= keepUses {
			all.add(&state.use)
		}
	}
	for id, b := range all.backends {
		if name, ok := t.names[id]; ok {
			totals.ByBackend[name] = BackendUse{Backend: name, InFlight: int(b.InFlight), PrefillTokens: int(b.PrefillTokens)}
		}
	}
	for id, a := range all.accounts {
		if name, ok := t.names[id]; ok {
			totals.ByAccount[name] = AccountUse{
				Account:           name,
				RequestsPerSecond: float64(a.DeciRequests) / 10,
				TokensPerSecond:   float64(a.Tokens),
				InFlight:          int(a.InFlight),
			}
		}
	}
	return totals
}
