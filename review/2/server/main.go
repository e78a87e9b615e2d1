// The case: after a planned change of the holder of the duties, the platform's store comes back from
// a copy some seconds old, as in a drill.
package main

import "time"

const (
	// drillAfter is the time between the first call of the new holder and the drill.
	drillAfter = 1500 * time.Millisecond
	watchFor   = 15 * time.Second
)

func main() {
	c := startDrillCase()
	first := c.cloud.await("a holder", func(call) bool { return true })
	time.Sleep(2 * time.Second)
	c.restart(c.instances[first.holder])
	second := c.cloud.await("a second holder", func(last call) bool { return last.fencing > first.fencing })
	c.Log("the holder is now %s, fencing %d", second.holder, second.fencing)
	time.Sleep(drillAfter)
	var from, until time.Time
	if c.Trouble {
		from = time.Now()
		c.store.drill(c.writeAll)
		until = time.Now().Add(contact) // the platform just was in disruption
	}
	time.Sleep(contact + watchFor)
	c.finish(c.cloud.lower(from, until))
}
