package store

import (
	"sort"
	"strings"
	"time"

	"papayaport.dev/serving/process/platform"
)

// maxVersions is the number of versions of a key that are kept for stale reads.
const maxVersions = 64

// table is the content of the store.
type table struct {
	revision uint64
	// keys holds the versions of every key, oldest first.
	keys   map[string][]platform.Entry
	leases map[string]*leaseState
}

// leaseState is the state of a lease. Its fencing token is kept after it expires.
type leaseState struct {
	holder  string
	fencing uint64
	expires time.Time
}

func newTable() *table {
	return &table{keys: map[string][]platform.Entry{}, leases: map[string]*leaseState{}}
}

// get returns a key's entry at a revision. The entry's Revision is 0 if the key did not exist.
func (t *table) get(key string, at uint64) platform.Entry {
	found := platform.Entry{Key: key}
	for _, entry := range t.keys[key] {
		if entry.Revision <= at {
			found = entry
		}
	}
	if found.Deleted {
		return platform.Entry{Key: key}
	}
	return found
}

// list returns the entries under a prefix at a revision, in the order of their keys.
func (t *table) list(prefix string, at uint64) platform.Entries {
	out := platform.Entries{Entries: []platform.Entry{}, Revision: at}
	for key := range t.keys {
		if !strings.HasPrefix(key, prefix) {
			continue
		}
		if entry := t.get(key, at); entry.Revision > 0 {
			out.Entries = append(out.Entries, entry)
		}
	}
	sort.Slice(out.Entries, func(i, j int) bool { return out.Entries[i].Key < out.Entries[j].Key })
	return out
}

// changed returns the entries under a prefix whose last change is in a revision greater than
// after and at most at, in the order of their revisions.
func (t *table) changed(prefix string, after, at uint64) platform.Entries {
	out := platform.Entries{Entries: []platform.Entry{}, Revision: at}
	for key, versions := range t.keys {
		last := versions[len(versions)-1]
		if strings.HasPrefix(key, prefix) && last.Revision > after && last.Revision <= at {
			out.Entries = append(out.Entries, last)
		}
	}
	sort.Slice(out.Entries, func(i, j int) bool { return out.Entries[i].Revision < out.Entries[j].Revision })
	return out
}

// condition is the precondition of a write.
type condition struct {
	// revision is the key's expected current revision, or nil for any.
	revision *uint64
	// lease is the name of a lease that must be held with the token fencing; "" for none.
	lease   string
	fencing uint64
}

// put writes a key if the condition holds. It returns the new entry, or the current one and false.
func (t *table) put(now time.Time, key string, value []byte, c condition) (platform.Entry, bool) {
	return t.write(now, platform.Entry{Key: key, Value: value}, c)
}

// remove deletes a key if the condition holds. It returns the current entry and false if not.
func (t *table) remove(now time.Time, key string, c condition) (platform.Entry, bool) {
	if t.get(key, t.revision).Revision == 0 && (c.revision == nil || *c.revision == 0) {
		return platform.Entry{Key: key}, true
	}
	return t.write(now, platform.Entry{Key: key, Deleted: true}, c)
}

func (t *table) write(now time.Time, entry platform.Entry, c condition) (platform.Entry, bool) {
	current := t.get(entry.Key, t.revision)
	if !t.satisfies(now, current, c) {
		return current, false
	}
	t.revision++
	entry.Revision = t.revision
	versions := append(t.keys[entry.Key], entry)
	if len(versions) > maxVersions {
		versions = versions[len(versions)-maxVersions:]
	}
	t.keys[entry.Key] = versions
	return entry, true
}

func (t *table) satisfies(now time.Time, current platform.Entry, c condition) bool {
	if c.revision != nil && *c.revision != current.Revision {
		return false
	}
	if c.lease == "" {
		return true
	}
	lease := t.leases[c.lease]
	return lease != nil && lease.fencing == c.fencing && now.Before(lease.expires)
}

// acquire grants a lease that is free, expired or held by the same holder. It returns the current
// lease and false if another holder has it.
func (t *table) acquire(now time.Time, name string, in platform.LeaseRequest) (platform.Lease, bool) {
	lease := t.leases[name]
	if lease == nil {
		lease = &leaseState{}
		t.leases[name] = lease
	}
	free := lease.holder == "" || !now.Before(lease.expires)
	if !free && lease.holder != in.Holder {
		return t.lease(now, name), false
	}
	if free {
		lease.holder = in.Holder
		lease.fencing++
	}
	lease.expires = now.Add(ttl(in))
	return t.lease(now, name), true
}

// renew extends a lease, or returns false if the holder no longer holds it with that token.
func (t *table) renew(now time.Time, name string, in platform.LeaseRequest) (platform.Lease, bool) {
	if !t.isHeld(now, name, in) {
		return t.lease(now, name), false
	}
	t.leases[name].expires = now.Add(ttl(in))
	return t.lease(now, name), true
}

// release frees a lease, or returns false if the holder no longer holds it with that token.
func (t *table) release(now time.Time, name string, in platform.LeaseRequest) (platform.Lease, bool) {
	if !t.isHeld(now, name, in) {
		return t.lease(now, name), false
	}
	t.leases[name].holder = ""
	return t.lease(now, name), true
}

func (t *table) isHeld(now time.Time, name string, in platform.LeaseRequest) bool {
	lease := t.leases[name]
	if lease == nil || lease.holder == "" || !now.Before(lease.expires) {
		return false
	}
	return lease.holder == in.Holder && lease.fencing == in.Fencing
}

// lease returns the state of a lease; its Holder is empty if the lease is free.
func (t *table) lease(now time.Time, name string) platform.Lease {
	lease := t.leases[name]
	if lease == nil {
		return platform.Lease{Name: name}
	}
	out := platform.Lease{Name: name, Holder: lease.holder, Fencing: lease.fencing}
	out.TTLMS = max(0, lease.expires.Sub(now).Milliseconds())
	if out.TTLMS == 0 {
		out.Holder = ""
	}
	return out
}

func ttl(in platform.LeaseRequest) time.Duration {
	return time.Duration(in.TTLMS) * time.Millisecond
}
