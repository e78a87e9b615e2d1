package action

import (
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
)

// members is this entry instance's view of the other live instances.
type members struct {
	self   Member
	others []Member
	// lostAt is when an incarnation last disappeared from the live members.
	lostAt time.Time
	// avoided holds the time until which a member is not used as a writer after a failed write.
	avoided map[Member]time.Time
}

func (m *members) update(now time.Time, live []Member) {
	others := make([]Member, 0, len(live))
	for _, member := range live {
		if member.Instance != m.self.Instance {
			others = append(others, member)
		}
	}
	slices.SortFunc(others, compareMembers)
	for _, member := range m.others {
		if !slices.Contains(others, member) {
			m.lostAt = now
			delete(m.avoided, member)
		}
	}
	m.others = others
}

func compareMembers(a, b Member) int {
	if order := strings.Compare(a.Instance, b.Instance); order != 0 {
		return order
	}
	return int(min(max(int64(a.Incarnation-b.Incarnation), -1), 1))
}

// presence is the liveness of a process according to the list of live members.
type presence uint8

const (
	// present means that the process, or an older incarnation, is among the live members.
	present presence = iota
	// unseen means that the instance is not among the live members. It may have just started.
	unseen
	// gone means that a newer incarnation has replaced the process.
	gone
)

// presence returns the liveness of a process. If an older incarnation is listed, the list is
// outdated and the process counts as present.
func (m *members) presence(process Member) presence {
	if process.Instance == m.self.Instance && process != m.self {
		return gone
	}
	if process == m.self {
		return present
	}
	for _, member := range m.others {
		switch {
		case member.Instance != process.Instance:
		case member.Incarnation <= process.Incarnation:
			return present
		default:
			return gone
		}
	}
	return unseen
}

func (m *members) avoid(member Member, until time.Time) { m.avoided[member] = until }

// writer returns the preferred writer of a page: the highest-ranked member without a recent
// failed write, or this one if there is none.
func (m *members) writer(now time.Time, page PageName) Member {
	return m.highest(page, func(member Member) bool { return !now.Before(m.avoided[member]) })
}

// sweeper returns the member that is responsible for sealing or deleting a page.
func (m *members) sweeper(page PageName) Member {
	return m.highest(page, func(Member) bool { return true })
}

// highest returns the eligible member with the highest hash of page and member
// (rendezvous hashing), or this one if none is eligible.
func (m *members) highest(page PageName, eligible func(Member) bool) Member {
	best, bestScore := m.self, uint64(0)
	if eligible(m.self) {
		bestScore = score(page, m.self)
	}
	for _, member := range m.others {
		if !eligible(member) {
			continue
		}
		if s := score(page, member); s > bestScore {
			best, bestScore = member, s
		}
	}
	return best
}

// score returns the rendezvous hash of a page and a member.
func score(page PageName, member Member) uint64 {
	return xxhash.Sum64String(string(page) + "\x00" + member.Instance + "\x00" + strconv.FormatUint(member.Incarnation, 10))
}
