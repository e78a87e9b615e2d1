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
	// useTTL is the time to live of a record after its creation.
	useTTL = 40 * time.Second
	// maxRefreshInterval is the longest interval between two records of an unchanged part.
	maxRefreshInterval = 8 * time.Second
	// minAgeDifference is the least difference of ages that makes a record newer than another.
	minAgeDifference = 500 * time.Millisecond
	// smallFleet is the number of entry instances up to which the usage of backend servers is
	// exchanged. In larger fleets it would arrive later than the servers' own load reports.
	smallFleet = 32
	// membersPerSecond is the number of entry instances per second of the interval between two
	// records of the same usage, so that the records of a large fleet fit the budget.
	membersPerSecond = 64
	// maxCellMembers is the largest mean number of members in a cell.
	maxCellMembers = 12
	// maxPartEntries is the largest mean number of backend servers and accounts in a part.
	maxPartEntries = 40
)

// useKey identifies a part of a usage. Speaker is set at the origin level only.
type useKey struct {
	level       uint8
	domain      uint32
	cells, cell uint16
	speaker     uint32
	parts, part uint16
}

type useState struct {
	use       UsageRecord
	createdAt time.Time
	// disputed is set if another instance created a record with the same key that is not newer.
	disputed bool
}

type usageSums struct {
	backends map[uint32]BackendSum
	accounts map[uint32]AccountSum
}

func newUsageSums() *usageSums {
	return &usageSums{backends: make(map[uint32]BackendSum), accounts: make(map[uint32]AccountSum)}
}

func (s *usageSums) add(u *UsageRecord) {
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

func (u *UsageRecord) key() useKey {
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

// countCells returns the number of cells in this failure domain, a power of two. It depends only
// on the number of members with a heartbeat, so that all members compute the same number.
func (t *Table) countCells() uint16 {
	members := 1
	for _, m := range t.members {
		if t.sameDomain(m) && !m.lastHeard.IsZero() {
			members++
		}
	}
	wanted := (members + maxCellMembers - 1) / maxCellMembers
	return 1 << bits.Len(uint(wanted-1))
}

func cell(id uint32, cells uint16) uint16 { return uint16(id>>8) & (cells - 1) }

func (t *Table) isSmall() bool { return len(t.members) < smallFleet }

// localSums returns the usage of this instance.
func (t *Table) localSums() *usageSums {
	s := newUsageSums()
	backends := t.local.Backends
	if !t.isSmall() {
		backends = nil
	}
	for _, b := range backends {
		id := nameHash(b.Backend)
		s.backends[id] = BackendSum{ID: id, InFlight: toUint32(float64(b.InFlight)), PrefillTokens: toUint32(float64(b.PrefillTokens))}
	}
	for _, a := range t.local.Accounts {
		id := nameHash(a.Account)
		s.accounts[id] = AccountSum{
			ID:           id,
			DeciRequests: toUint32(a.RequestsPerSecond * 10),
			Tokens:       toUint32(a.TokensPerSecond),
			InFlight:     toUint32(float64(a.InFlight)),
		}
	}
	return s
}

func toUint32(v float64) uint32 {
	return uint32(math.Round(min(max(v, 0), math.MaxUint32)))
}

// issueUses creates the usage records of this instance, and those of its cell and failure domain
// if it is their speaker.
func (t *Table) issueUses(now time.Time) {
	period := uint32(1 + len(t.members)/membersPerSecond)
	if (t.count+t.id)%period != 0 {
		return
	}
	own := cell(t.id, t.cells)
	local := t.localSums()
	t.issue(now, UsageRecord{Level: OriginLevel, Domain: t.domain, Cells: t.cells, Cell: own}, local)
	inCell := t.sumCell(now, local)
	if t.cells > 1 && t.speaker(now, func(m *member) bool { return cell(m.memberID, t.cells) == own }) == nil {
		t.issue(now, UsageRecord{Level: CellLevel, Domain: t.domain, Cells: t.cells, Cell: own}, inCell)
	}
	if t.speaker(now, func(*member) bool { return true }) == nil {
		t.sumOtherCells(now, inCell)
		t.issue(now, UsageRecord{Level: DomainLevel, Domain: t.domain, Cells: t.cells}, inCell)
		roster := t.roster(now)
		roster.Speaker, roster.Sequence, roster.Parts = t.id, t.count, 1
		t.store(now, roster)
	}
}

// upstream returns the member that aggregates the records of this instance, and the level of the
// records to send to it: the speaker of the cell for a member of it, the speaker of the failure
// domain for a speaker of a cell. It returns nil if that is this instance itself.
func (t *Table) upstream(now time.Time) (*member, uint8) {
	own := cell(t.id, t.cells)
	if speaker := t.speaker(now, func(m *member) bool { return cell(m.memberID, t.cells) == own }); speaker != nil {
		return speaker, OriginLevel
	}
	return t.speaker(now, func(*member) bool { return true }), CellLevel
}

// speaker returns the matching live member of this failure domain with the lowest id, or nil if
// this instance's id is lower.
func (t *Table) speaker(now time.Time, matches func(*member) bool) *member {
	var lowest *member
	for _, m := range t.sorted {
		if m.memberID < t.id && t.sameDomain(m) && t.live(now, m) && matches(m) && (lowest == nil || m.memberID < lowest.memberID) {
			lowest = m
		}
	}
	return lowest
}

// sumCell returns s plus the usage of the live members of this cell.
func (t *Table) sumCell(now time.Time, s *usageSums) *usageSums {
	total := newUsageSums()
	for id, b := range s.backends {
		total.backends[id] = b
	}
	for id, a := range s.accounts {
		total.accounts[id] = a
	}
	for key, state := range t.uses {
		if key.level != OriginLevel || key.speaker == t.id || now.Sub(state.createdAt) > useTTL {
			continue
		}
		if m := t.byID[key.speaker]; m != nil && t.live(now, m) {
			total.add(&state.use)
		}
	}
	return total
}

func (t *Table) sumOtherCells(now time.Time, total *usageSums) {
	own := cell(t.id, t.cells)
	for key, state := range t.uses {
		if key.level != CellLevel || key.domain != t.domain || key.cells != t.cells || key.cell == own {
			continue
		}
		if now.Sub(state.createdAt) <= useTTL {
			total.add(&state.use)
		}
	}
}

// issue splits sums into parts and stores those that changed or are due for a refresh.
func (t *Table) issue(now time.Time, head UsageRecord, s *usageSums) {
	count := (len(s.backends) + len(s.accounts) + maxPartEntries - 1) / maxPartEntries
	parts := uint16(1) << bits.Len(uint(max(count, 1)-1))
	split := make([]UsageRecord, parts)
	for _, b := range s.backends {
		part := &split[uint16(b.ID)&(parts-1)]
		part.Backends = append(part.Backends, b)
	}
	for _, a := range s.accounts {
		part := &split[uint16(a.ID)&(parts-1)]
		part.Accounts = append(part.Accounts, a)
	}
	for i := range split {
		use := head
		use.Speaker, use.Sequence = t.id, t.count
		use.Parts, use.Part = parts, uint16(i)
		use.Backends, use.Accounts = split[i].Backends, split[i].Accounts
		slices.SortFunc(use.Backends, func(a, b BackendSum) int { return cmp.Compare(a.ID, b.ID) })
		slices.SortFunc(use.Accounts, func(a, b AccountSum) int { return cmp.Compare(a.ID, b.ID) })
		t.store(now, use)
	}
}

// store stores a record created here unless an equal one is recent.
func (t *Table) store(now time.Time, use UsageRecord) {
	key := use.key()
	known := t.uses[key]
	if known != nil && known.use.Speaker == t.id && !known.disputed && now.Sub(known.createdAt) < maxRefreshInterval &&
		known.use.sameContent(&use) {
		return
	}
	t.replace(key, &useState{use: use, createdAt: now})
}

func (u *UsageRecord) sameContent(other *UsageRecord) bool {
	return slices.Equal(u.Backends, other.Backends) && slices.Equal(u.Accounts, other.Accounts) &&
		slices.Equal(u.Live, other.Live) && slices.Equal(u.Draining, other.Draining)
}

// withoutPart returns the key without the parts.
func (k useKey) withoutPart() useKey {
	k.parts, k.part = 0, 0
	return k
}

// splitLater reports whether the same usage was split into a different number of parts later.
func (t *Table) splitLater(key useKey, createdAt time.Time) bool {
	for other, state := range t.uses {
		if other.parts != key.parts && other.withoutPart() == key.withoutPart() && state.createdAt.After(createdAt) {
			return true
		}
	}
	return false
}

// replace stores a record and deletes those of the same usage split into a different number of
// parts.
func (t *Table) replace(key useKey, state *useState) {
	if t.uses[key] == nil {
		for other := range t.uses {
			if other.parts != key.parts && other.withoutPart() == key.withoutPart() {
				delete(t.uses, other)
			}
		}
	}
	t.uses[key] = state
}

// Totals returns the usage of all other entry instances together, from unexpired records. Backend
// servers and accounts whose names are not registered here are omitted.
func (t *Table) Totals(now time.Time) Totals {
	t.mu.Lock()
	defer t.mu.Unlock()
	totals := Totals{ByBackend: make(map[string]BackendUsage), ByAccount: make(map[string]AccountUsage)}
	for _, m := range t.members {
		if t.live(now, m) {
			totals.Entries++
		}
	}
	all := t.sumCell(now, newUsageSums())
	t.sumOtherCells(now, all)
	for key, state := range t.uses {
		if key.level == DomainLevel && key.domain != t.domain && now.Sub(state.createdAt) <= useTTL {
			all.add(&state.use)
		}
	}
	for id, b := range all.backends {
		if name, ok := t.names[id]; ok {
			totals.ByBackend[name] = BackendUsage{Backend: name, InFlight: int(b.InFlight), PrefillTokens: int(b.PrefillTokens)}
		}
	}
	for id, a := range all.accounts {
		if name, ok := t.names[id]; ok {
			totals.ByAccount[name] = AccountUsage{
				Account:           name,
				RequestsPerSecond: float64(a.DeciRequests) / 10,
				TokensPerSecond:   float64(a.Tokens),
				InFlight:          int(a.InFlight),
			}
		}
	}
	return totals
}
