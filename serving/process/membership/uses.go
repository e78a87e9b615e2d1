package membership

import (
	"cmp"
	"math"
	"math/bits"
	"slices"
	"time"
)

// Limits of use records.
const (
	// keepUses is how long a record counts after it was made.
	keepUses = 40 * time.Second
	// refreshUses is the longest time between two records of an unchanged part.
	refreshUses = 8 * time.Second
	// newerBy is the least difference of ages that makes a record newer than another.
	newerBy = 500 * time.Millisecond
	// smallFleet is the number of entry instances up to which the use of backend servers
	// is exchanged. Above it would arrive later than the servers' own load reports.
	smallFleet = 32
	// membersPerSecond is the number of entry instances for each second between two
	// records of one whole, so that the records of a large fleet fit the budget.
	membersPerSecond = 64
	// cellMembers is the largest mean number of members in a cell.
	cellMembers = 12
	// partSubjects is the largest mean number of backend servers and accounts in a part.
	partSubjects = 40
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
	// disputed tells that another instance spoke for the same at about this time.
	disputed bool
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

// countCells returns the number of cells in this failure domain. It follows the number
// of members heard of, so that all members come to the same.
func (t *Table) countCells() uint16 {
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

func (t *Table) small() bool { return len(t.members) < smallFleet }

// localSums returns the use of this instance.
func (t *Table) localSums() *sums {
	s := newSums()
	backends := t.local.Backends
	if !t.small() {
		backends = nil
	}
	for _, b := range backends {
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
	period := uint32(1 + len(t.members)/membersPerSecond)
	if (t.count+t.id)%period != 0 {
		return
	}
	own := cell(t.id, t.cells)
	local := t.localSums()
	t.issue(now, Use{Level: OriginLevel, Domain: t.domain, Cells: t.cells, Cell: own}, local)
	inCell := t.sumCell(now, local)
	if t.cells > 1 && t.speaker(now, func(m *member) bool { return cell(m.memberID, t.cells) == own }) == nil {
		t.issue(now, Use{Level: CellLevel, Domain: t.domain, Cells: t.cells, Cell: own}, inCell)
	}
	if t.speaker(now, func(*member) bool { return true }) == nil {
		t.sumOtherCells(now, inCell)
		t.issue(now, Use{Level: DomainLevel, Domain: t.domain, Cells: t.cells}, inCell)
		roster := t.roster(now)
		roster.Speaker, roster.Sequence, roster.Parts = t.id, t.count, 1
		t.store(now, roster)
	}
}

// upstream returns the member that sums up what this instance speaks for, and the level
// of the records to give it: the speaker of the cell for a member of it, the speaker of
// the failure domain for a speaker of a cell. Nil stands for this instance itself.
func (t *Table) upstream(now time.Time) (*member, uint8) {
	own := cell(t.id, t.cells)
	if speaker := t.speaker(now, func(m *member) bool { return cell(m.memberID, t.cells) == own }); speaker != nil {
		return speaker, OriginLevel
	}
	return t.speaker(now, func(*member) bool { return true }), CellLevel
}

// speaker returns the live member of this failure domain with the lowest name that
// matches, nil when this instance has it.
func (t *Table) speaker(now time.Time, matches func(*member) bool) *member {
	var lowest *member
	for _, m := range t.sorted {
		if m.memberID < t.id && t.home(m) && t.live(now, m) && matches(m) && (lowest == nil || m.memberID < lowest.memberID) {
			lowest = m
		}
	}
	return lowest
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

func (t *Table) sumOtherCells(now time.Time, total *sums) {
	own := cell(t.id, t.cells)
	for key, state := range t.uses {
		if key.level != CellLevel || key.domain != t.domain || key.cells != t.cells || key.cell == own {
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
	if known != nil && known.use.Speaker == t.id && !known.disputed && now.Sub(known.made) < refreshUses &&
		known.use.sameContent(&use) {
		return
	}
	t.replace(key, &useState{use: use, made: now})
}

func (u *Use) sameContent(other *Use) bool {
	return slices.Equal(u.Backends, other.Backends) && slices.Equal(u.Accounts, other.Accounts) &&
		slices.Equal(u.Live, other.Live) && slices.Equal(u.Draining, other.Draining)
}

// whole returns the key without the parts.
func (k useKey) whole() useKey {
	k.parts, k.part = 0, 0
	return k
}

// cutLater tells whether the same whole was cut into other parts later.
func (t *Table) cutLater(key useKey, made time.Time) bool {
	for other, state := range t.uses {
		if other.parts != key.parts && other.whole() == key.whole() && state.made.After(made) {
			return true
		}
	}
	return false
}

// replace keeps a record and drops those of the same whole cut into other parts.
func (t *Table) replace(key useKey, state *useState) {
	if t.uses[key] == nil {
		for other := range t.uses {
			if other.parts != key.parts && other.whole() == key.whole() {
				delete(t.uses, other)
			}
		}
	}
	t.uses[key] = state
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
	all := t.sumCell(now, newSums())
	t.sumOtherCells(now, all)
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
