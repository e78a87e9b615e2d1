package membership

import (
	"slices"
	"time"
)

// Limits of the leaving set.
const (
	// leavingRetention is how long a leaving incarnation is kept after its deadline.
	leavingRetention = 10 * time.Minute
	// pushPeriod is the interval between pushes of new leaving instances.
	pushPeriod = 100 * time.Millisecond
	// repairPeriod is the interval between repairs of the leaving set.
	repairPeriod = 500 * time.Millisecond
	// pushFanout is the number of peers that receive a push, and largePushFanout that of a push of
	// more than largePushBytes.
	pushFanout      = 7
	largePushFanout = 3
	largePushBytes  = 1 << 10
	// maxPushBytes is the largest push or repair in bytes.
	maxPushBytes = 8 << 10
	// maxRelays is the number of times that a record is relayed after it was received.
	maxRelays = 4
)

type leavingState struct {
	Leaving
	incarnationHash uint64
	pushed          bool
	relayed         int
}

func (r LeavingRecord) leaving(now time.Time) Leaving {
	return Leaving{
		Instance:    r.Instance,
		Incarnation: r.Incarnation,
		Deadline:    now.Add(time.Duration(r.RemainingMS) * time.Millisecond),
	}
}

func (s *leavingState) record(now time.Time) LeavingRecord {
	return LeavingRecord{
		Instance:    s.Instance,
		Incarnation: s.Incarnation,
		RemainingMS: s.Deadline.Sub(now).Milliseconds(),
	}
}

// AnnounceLeaving adds a leaving instance, by a notice of the platform or of a backend server. It returns
// the messages that push it to peers immediately; if the last push was less than pushPeriod ago,
// the next Tick returns them.
func (t *Table) AnnounceLeaving(now time.Time, leaving Leaving) []Exchange {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.addLeaving(now, leaving)
	if !t.pushDue || now.Before(t.nextPush) {
		return nil
	}
	return t.push(now)
}

// addLeaving adds an incarnation to the leaving set. An earlier deadline replaces a later one.
func (t *Table) addLeaving(now time.Time, leaving Leaving) {
	if now.Sub(leaving.Deadline) > leavingRetention {
		return
	}
	name := incarnationHash(leaving.Instance, leaving.Incarnation)
	if known := t.leaving[name]; known != nil {
		if leaving.Deadline.Before(known.Deadline) {
			known.Deadline = leaving.Deadline
		}
		return
	}
	t.leaving[name] = &leavingState{Leaving: leaving, incarnationHash: name}
	t.digest ^= name
	t.pushDue = true
	t.changes = append(t.changes, LeavingChange{Leaving: leaving})
}

// LeavingSet returns all leaving incarnations, sorted by deadline.
func (t *Table) LeavingSet() []Leaving {
	t.mu.Lock()
	defer t.mu.Unlock()
	set := make([]Leaving, 0, len(t.leaving))
	for _, state := range t.leaving {
		set = append(set, state.Leaving)
	}
	slices.SortFunc(set, func(a, b Leaving) int {
		if c := a.Deadline.Compare(b.Deadline); c != 0 {
			return c
		}
		return int(int64(nameHash(a.Instance)) - int64(nameHash(b.Instance)))
	})
	return set
}

func (t *Table) pruneLeaving(now time.Time) {
	for name, state := range t.leaving {
		if now.Sub(state.Deadline) > leavingRetention {
			delete(t.leaving, name)
			t.digest ^= name
		}
	}
}

// push returns the messages that send new leaving instances and limits to a few peers.
func (t *Table) push(now time.Time) []Exchange {
	t.nextPush = now.Add(pushPeriod)
	t.pushDue = false
	message := t.empty(false)
	message.Push = true
	size := message.headSize()
	for _, state := range t.leavingBySent(true) {
		if state.pushed {
			continue
		}
		record := state.record(now)
		size += record.size()
		if size > maxPushBytes {
			t.pushDue = true
			break
		}
		state.pushed = true
		message.Leaving = append(message.Leaving, record)
	}
	size = t.pushLimits(now, &message, size)
	fanout := pushFanout
	if size > largePushBytes {
		fanout = largePushFanout
	}
	var exchanges []Exchange
	for _, address := range t.pushTargets(now, fanout) {
		exchanges = append(exchanges, Exchange{Address: address, Message: message})
		t.sendBudget.take(size)
	}
	return exchanges
}

// pushTargets returns random peers, about half of them in this failure domain, or the seeds if no
// member is reachable.
func (t *Table) pushTargets(now time.Time, fanout int) []string {
	local, remote := t.reachable(now)
	localCount := min(len(local), max((fanout+1)/2, fanout-len(remote)))
	remoteCount := min(len(remote), fanout-localCount)
	var addresses []string
	for _, m := range append(t.sample(local, localCount), t.sample(remote, remoteCount)...) {
		addresses = append(addresses, m.PeerAddress)
	}
	if len(addresses) == 0 {
		return t.seeds
	}
	return addresses
}

// compareDigest schedules a repair from a peer whose leaving set differs.
func (t *Table) compareDigest(m *Message) {
	if m.LeavingDigest != t.digest {
		t.repairFrom = m.From.PeerAddress
	}
}

// repair returns the request to a peer for the leaving instances that are missing here.
func (t *Table) repair(now time.Time) Exchange {
	message := t.empty(false)
	message.Repair = true
	for _, state := range t.leavingBySent(true) {
		message.KnownLeaving = append(message.KnownLeaving, uint32(state.incarnationHash))
	}
	t.nextRepair = now.Add(repairPeriod)
	address := t.repairFrom
	t.repairFrom = ""
	return Exchange{Address: address, Message: message}
}

// repairReply returns the reply to a repair request.
func (t *Table) repairReply(now time.Time, have []uint32) Message {
	message := t.empty(true)
	size := message.headSize()
	for _, state := range t.leavingBySent(true) {
		record := state.record(now)
		if slices.Contains(have, uint32(state.incarnationHash)) || size+record.size() > maxPushBytes {
			continue
		}
		size += record.size()
		message.Leaving = append(message.Leaving, record)
	}
	t.sendBudget.take(size)
	return message
}

// leavingBySent returns the leaving set, least relayed first. Unless all is set, those relayed
// often enough are excluded.
func (t *Table) leavingBySent(all bool) []*leavingState {
	states := make([]*leavingState, 0, len(t.leaving))
	for _, state := range t.leaving {
		if all || state.relayed < maxRelays {
			states = append(states, state)
		}
	}
	slices.SortFunc(states, func(a, b *leavingState) int {
		if a.relayed != b.relayed {
			return a.relayed - b.relayed
		}
		if a.incarnationHash < b.incarnationHash {
			return -1
		}
		return 1
	})
	return states
}
