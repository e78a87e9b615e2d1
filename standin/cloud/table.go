package cloud

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"papayaport.dev/serving/process/platform"
)

// table is what the cloud knows of instances, prices and notices.
type table struct {
	instances map[string]*known
	prices    []platform.Price
	notices   []platform.Notice
	// started holds the instance ids by the request ids of their starts.
	started map[string]string
	// views holds past instance lists, oldest first.
	views  []view
	count  int
	random *rand.Rand
}

// known is an instance and when it goes.
type known struct {
	platform.Instance
	leaveAt time.Time
}

type view struct {
	at        time.Time
	instances []platform.Instance
}

func newTable(prices []platform.Price, seed uint64) *table {
	return &table{
		instances: map[string]*known{},
		prices:    prices,
		started:   map[string]string{},
		random:    rand.New(rand.NewPCG(seed, 1)),
	}
}

// register adds or replaces an instance. An instance without a price gets that of its
// class and failure domain.
func (t *table) register(now time.Time, in platform.Instance) platform.Instance {
	if in.PricePerHour == 0 {
		in.PricePerHour = t.price(in.Class, in.FailureDomain, in.Reclaimable)
	}
	t.instances[in.ID] = &known{Instance: in}
	t.changed(now)
	return in
}

func (t *table) remove(now time.Time, id string) bool {
	if t.instances[id] == nil {
		return false
	}
	delete(t.instances, id)
	t.changed(now)
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

// changed keeps the list as it stands now.
func (t *table) changed(now time.Time) {
	v := view{at: now, instances: []platform.Instance{}}
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
	t.views = append(t.views, v)
}

// list returns the list as it stood lag ago.
func (t *table) list(now time.Time, lag time.Duration) platform.Instances {
	asOf := now.Add(-lag)
	for len(t.views) > 1 && !t.views[1].at.After(asOf) {
		t.views = t.views[1:]
	}
	if len(t.views) == 0 || t.views[0].at.After(asOf) {
		return platform.Instances{Instances: []platform.Instance{}, AgeMS: lag.Milliseconds()}
	}
	seen := t.views[0]
	out := platform.Instances{Instances: slices.Clone(seen.instances), AgeMS: lag.Milliseconds()}
	for i := range out.Instances {
		left := &out.Instances[i].LeaveInMS
		*left = max(0, *left-now.Sub(seen.at).Milliseconds())
	}
	return out
}

// reclaim marks instances as leaving, issues their notices and returns them.
func (t *table) reclaim(now time.Time, in Reclaim) []platform.Instance {
	leaveIn := time.Duration(in.LeaveInMS) * time.Millisecond
	var out []platform.Instance
	for _, k := range t.instances {
		if k.Leaving || !in.takes(k.Instance) {
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
	t.changed(now)
	return out
}

// expire removes instances whose time is up.
func (t *table) expire(now time.Time) {
	gone := false
	for id, k := range t.instances {
		if k.Leaving && !now.Before(k.leaveAt) {
			delete(t.instances, id)
			gone = true
		}
	}
	if gone {
		t.changed(now)
	}
}

// since returns the notices behind a sequence number, with the time left by now. Next is
// the last sequence number, to be asked for after.
func (t *table) since(now time.Time, after uint64) platform.Notices {
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

// begin decides on a start. It returns the instance of an earlier start with the same
// request id, or a new id, or false when it is refused.
func (t *table) begin(in platform.Start, faults Faults) (started *platform.Instance, id string, ok bool) {
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
