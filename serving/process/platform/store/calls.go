package store

import "sync/atomic"

// calls counts the calls by kind.
type calls struct {
	get, list, watch, put, del, lease atomic.Uint64
}

func (c *calls) snapshot() map[string]uint64 {
	return map[string]uint64{
		"get":    c.get.Load(),
		"list":   c.list.Load(),
		"watch":  c.watch.Load(),
		"put":    c.put.Load(),
		"delete": c.del.Load(),
		"lease":  c.lease.Load(),
	}
}
