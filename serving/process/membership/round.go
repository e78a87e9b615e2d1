package membership

import (
	"slices"
	"time"
)

// maxDebtBytes is the largest debt of a bucket in bytes.
const maxDebtBytes = 8 << 10

// tokenBucket is a token bucket for the bytes sent, which may go into debt.
type tokenBucket struct {
	available  float64
	refilledAt time.Time
}

// allow refills the bucket at perSecond bytes per second and returns the number of bytes that may
// be sent now.
func (b *tokenBucket) allow(now time.Time, perSecond float64) int {
	if b.refilledAt.IsZero() {
		b.available = perSecond
	} else {
		b.available = min(perSecond, b.available+perSecond*now.Sub(b.refilledAt).Seconds())
	}
	b.refilledAt = now
	return int(b.available)
}

// take removes sent bytes from the bucket. The debt is limited, so that it is refilled within a
// few seconds.
func (b *tokenBucket) take(size int) { b.available = max(b.available-float64(size), -maxDebtBytes) }

// reachable returns the reachable members of this failure domain and of others.
func (t *Table) reachable(now time.Time) (local, remote []*member) {
	for _, m := range t.sorted {
		if !t.reachableNow(now, m) {
			continue
		}
		if t.sameDomain(m) {
			local = append(local, m)
		} else {
			remote = append(remote, m)
		}
	}
	return local, remote
}

// reachableNow reports whether a member is live and has sent a heartbeat since the last failed
// call, or was added recently and has not been called yet.
func (t *Table) reachableNow(now time.Time, m *member) bool {
	if m.lastHeard.IsZero() {
		return m.failedAt.IsZero() && now.Sub(m.addedAt) <= newcomerPeriod
	}
	return t.live(now, m) && !m.failedAt.After(m.lastHeard)
}

// sample returns up to n random members.
func (t *Table) sample(members []*member, n int) []*member {
	members = slices.Clone(members)
	n = min(n, len(members))
	for i := range n {
		j := i + t.random.IntN(len(members)-i)
		members[i], members[j] = members[j], members[i]
	}
	return members[:n]
}

// round starts the exchanges of one period.
func (t *Table) round(now time.Time) []Exchange {
	local, remote := t.reachable(now)
	up, level := t.upstream(now)
	if up != nil && (t.count+t.id)%t.upstreamPeriod() == 0 {
		local = []*member{up}
	}
	chosen := t.sample(local, localExchanges)
	remoteCount := remoteExchanges
	if t.isSmall() {
		remoteCount = smallRemoteExchanges
	}
	chosen = append(chosen, t.sample(remote, remoteCount)...)
	if !now.Before(t.nextProbe) {
		t.nextProbe = now.Add(probePeriod)
		chosen = append(chosen, t.probes(now)...)
	}
	var exchanges []Exchange
	for _, m := range chosen {
		message := t.compose(now, m, nil)
		if m == up {
			t.sendBudget.take(t.addOwn(now, &message, level, 0, t.maxMessageBytes))
		}
		exchanges = append(exchanges, Exchange{Address: m.PeerAddress, Message: message})
	}
	if address := t.seed(now, len(chosen) == 0); address != "" {
		exchanges = append(exchanges, Exchange{Address: address, Message: t.compose(now, nil, nil)})
	}
	return exchanges
}

// upstreamPeriod returns the number of rounds between two exchanges with the aggregating member.
// It grows with the number of members that share it.
func (t *Table) upstreamPeriod() uint32 {
	members := 0
	for _, m := range t.sorted {
		if t.sameDomain(m) {
			members++
		}
	}
	children := members/int(t.cells) + int(t.cells) - 1
	return uint32(max(minUpstreamRounds, children/upstreamPerRound))
}

// probes returns random silent members, one of this failure domain and one of another, to detect
// the end of a network partition.
func (t *Table) probes(now time.Time) []*member {
	var local, remote []*member
	for _, m := range t.sorted {
		if t.reachableNow(now, m) {
			continue
		}
		if t.sameDomain(m) {
			local = append(local, m)
		} else {
			remote = append(remote, m)
		}
	}
	return append(t.sample(local, 1), t.sample(remote, 1)...)
}

// seed returns a seed to call, or "": round-robin in every round while no member is reachable,
// every seedPeriod otherwise.
func (t *Table) seed(now time.Time, isolated bool) string {
	if len(t.seeds) == 0 || (!isolated && now.Before(t.nextSeed)) {
		return ""
	}
	t.nextSeed = now.Add(seedPeriod)
	t.nextSeedIndex++
	address := t.seeds[t.nextSeedIndex%len(t.seeds)]
	for _, m := range t.members {
		if m.PeerAddress == address && t.live(now, m) {
			return ""
		}
	}
	return address
}

func (t *Table) empty(reply bool) Message {
	return Message{
		From:          t.self,
		Count:         t.count,
		Reply:         reply,
		Draining:      t.local.Draining,
		Config:        t.config,
		LeavingDigest: t.digest,
	}
}

// headSize returns the encoded size of a message without records.
func (m *Message) headSize() int { return messageBytes + m.From.size() + m.Config.size() }

// compose fills a message for a peer, or the reply to one, within the budget.
func (t *Table) compose(now time.Time, to *member, request *Message) Message {
	m := t.empty(request != nil)
	if to != nil && to.configVersion >= t.config.Version {
		m.Config = Config{Version: t.config.Version}
	}
	size := m.headSize()
	limit := t.maxMessageBytes
	if request != nil {
		limit = t.maxMessageBytes * 3 / 2 // requests are smaller
		if len(request.UsageRecords) > 0 {
			limit = t.maxMessageBytes / 2 // one of many senders whose usage is aggregated here
		}
	}
	limit = max(size+minRecordBytes, min(limit, t.sendBudget.allow(now, float64(t.budget)/2)))
	size = t.addLeavingRecords(now, &m, size, limit)
	size = t.addLimits(now, &m, false, size, size+(limit-size)/3)
	size = t.addMembers(now, &m, size, size+(limit-size)/3)
	if to == nil || t.sameDomain(to) {
		size = t.addBeats(now, &m, size, size+(limit-size)/3)
	}
	if request != nil {
		size = t.addUses(now, &m, to, request.RecordAges, size, limit)
	} else {
		m.WantMembers, t.wantMembers = t.wantMembers > 0, max(t.wantMembers-1, 0)
		size = t.addHave(now, &m, to, size)
	}
	t.sendBudget.take(size)
	return m
}

func (t *Table) addLeavingRecords(now time.Time, m *Message, size, limit int) int {
	for _, state := range t.leavingBySent(false) {
		record := state.record(now)
		if size+record.size() > limit {
			break
		}
		size += record.size()
		state.relayed++
		m.Leaving = append(m.Leaving, record)
	}
	return size
}

// addBeats adds heartbeats of this failure domain, the least gossiped ones first.
func (t *Table) addBeats(now time.Time, m *Message, size, limit int) int {
	var due []*member
	for _, other := range t.sorted {
		if other.beatsSent < maxRelays && t.sameDomain(other) && t.live(now, other) {
			due = append(due, other)
		}
	}
	t.random.Shuffle(len(due), func(i, j int) { due[i], due[j] = due[j], due[i] })
	slices.SortStableFunc(due, func(a, b *member) int { return a.beatsSent - b.beatsSent })
	for _, other := range due {
		if size+beatBytes > limit {
			break
		}
		size += beatBytes
		other.beatsSent++
		m.Heartbeats = append(m.Heartbeats, Heartbeat{ID: other.memberID, Count: other.heartbeatCount, Draining: other.draining})
	}
	return size
}

// addWelcome adds random reachable members for a peer that doesn't know all members.
func (t *Table) addWelcome(now time.Time, m *Message) {
	local, remote := t.reachable(now)
	for _, other := range append(t.sample(local, welcomeMembers), t.sample(remote, welcomeMembers)...) {
		m.Members = append(m.Members, other.Member)
	}
}

// addMembers adds members that have contacted this instance recently.
func (t *Table) addMembers(now time.Time, m *Message, size, limit int) int {
	for _, other := range t.sorted {
		if other.fullSent >= maxRelays || !t.live(now, other) {
			continue
		}
		if size+other.size() > limit {
			break
		}
		size += other.size()
		other.fullSent++
		m.Members = append(m.Members, other.Member)
	}
	return size
}
