package cloud

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"papayaport.dev/serving/process/platform"
)

// table is the cloud's state of instances, prices and notices.
type table struct {
	instances map[string]*trackedInstance
	prices    []platform.Price
	notices   []platform.Notice
	// started maps the request ids of starts to instance ids.
	started map[string]string
	// snapshots holds past snapshots of the instance list, oldest first.
	snapshots []listSnapshot
	count     int
	random    *rand.Rand
}

// trackedInstance is an instance with the end of its reclaim notice.
type trackedInstance struct {
	platform.Instance
	leaveAt time.Time
}

type listSnapshot struct {
	at        time.Time
	instances []platform.Instance
}

func newTable(prices []platform.Price, seed uint64) *table {
	return &table{
		instances: map[string]*trackedInstance{},
		prices:    prices,
		started:   map[string]string{},
		random:    rand.New(rand.NewPCG(seed, 1)),
	}
}

// register adds or replaces an instance. If it has no price, the price of its class and failure
// domain is filled in.
func (t *table) register(now time.Time, in platform.Instance) platform.Instance {
	if in.PricePerHour == 0 {
		in.PricePerHour = t.price(in.Class, in.FailureDomain, in.Reclaimable)
	}
	t.instances[in.ID] = &trackedInstance{Instance: in}
	t.saveSnapshot(now)
	return in
}

func (t *table) remove(now time.Time, id string) bool {
	if t.instances[id] == nil {
		return false
	}
	delete(t.instances, id)
	t.saveSnapshot(now)
	return true
}

func (t *table) price(class, domain string, reclaimable bool) float64 {
	for _, p := range t.prices {
		if p.Class == class && p.FailureDomain == domain && p.Reclaimable == reclaimable {
			return p.PricePerHour
		}
	}
	return 0
}

// saveSnapshot stores a snapshot of the current instance list.
func (t *table) saveSnapshot(now time.Time) {
	v := listSnapshot{at: now, instances: []platform.Instance{}}
	for _, k := range t.instances {
		in := k.Instance
		if in.Leaving {
			in.LeaveInMS = max(0, k.leaveAt.Sub(now).Milliseconds())
		}
		v.instances = append(v.instances, in)
	}
	slices.SortFunc(v.instances, func(a, b platform.Instance) int {
		if a.ID < b.ID {
			return -1
		}
		return 1
	})
	t.snapshots = append(t.snapshots, v)
}

// list returns the instance list as of lag ago, with the remaining notice times at now.
func (t *table) list(now time.Time, lag time.Duration) platform.Instances {
	asOf := now.Add(-lag)
	for len(t.snapshots) > 1 && !t.snapshots[1].at.After(asOf) {
		t.snapshots = t.snapshots[1:]
	}
	if len(t.snapshots) == 0 || t.snapshots[0].at.After(asOf) {
		return platform.Instances{Instances: []platform.Instance{}, AgeMS: lag.Milliseconds()}
	}
	snapshot := t.snapshots[0]
	out := platform.Instances{Instances: slices.Clone(snapshot.instances), AgeMS: lag.Milliseconds()}
	for i := range out.Instances {
		leaveInMS := &out.Instances[i].LeaveInMS
		*leaveInMS = max(0, *leaveInMS-now.Sub(snapshot.at).Milliseconds())
	}
	return out
}

// reclaim marks the selected instances as leaving, issues notices and returns the instances.
func (t *table) reclaim(now time.Time, in Reclaim) []platform.Instance {
	leaveIn := time.Duration(in.LeaveInMS) * time.Millisecond
	var out []platform.Instance
	for _, k := range t.instances {
		if k.Leaving || !in.selects(k.Instance) {
			continue
		}
		k.Leaving = true
		k.leaveAt = now.Add(leaveIn)
		t.notices = append(t.notices, platform.Notice{
			Sequence:    uint64(len(t.notices)) + 1,
			Instance:    k.ID,
			Incarnation: k.Incarnation,
			LeaveInMS:   in.LeaveInMS,
		})
		out = append(out, k.Instance)
	}
	t.saveSnapshot(now)
	return out
}

// expire removes instances whose reclaim notice has ended.
func (t *table) expire(now time.Time) {
	removed := false
	for id, k := range t.instances {
		if k.Leaving && !now.Before(k.leaveAt) {
			delete(t.instances, id)
			removed = true
		}
	}
	if removed {
		t.saveSnapshot(now)
	}
}

// noticesSince returns the notices after a sequence number, with the notice time remaining at now. Next
// is the last sequence number, to be passed as after in the next call.
func (t *table) noticesSince(now time.Time, after uint64) platform.Notices {
	out := platform.Notices{Notices: []platform.Notice{}, Next: uint64(len(t.notices))}
	for _, n := range t.notices {
		if n.Sequence <= after {
			continue
		}
		if k := t.instances[n.Instance]; k != nil && k.Incarnation == n.Incarnation {
			n.LeaveInMS = max(0, k.leaveAt.Sub(now).Milliseconds())
		} else {
			n.LeaveInMS = 0
		}
		out.Notices = append(out.Notices, n)
	}
	return out
}

// admitStart decides on a start. It returns the instance of an earlier start with the same
// request id, or a new instance id, or false if the start is refused.
func (t *table) admitStart(in platform.Start, faults Faults) (started *platform.Instance, id string, ok bool) {
	if k := t.instances[t.started[in.RequestID]]; k != nil {
		return &k.Instance, k.ID, true
	}
	if faults.refuses(in) || t.random.Float64() < faults.RefuseShare {
		return nil, "", false
	}
	t.count++
	id = fmt.Sprintf("%s-%s-started-%d", in.Service, in.FailureDomain, t.count)
	t.started[in.RequestID] = id
	return nil, id, true
}
