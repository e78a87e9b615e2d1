// The case: during a rolling restart, the platform's store comes back from a copy some seconds old, as
// in a drill, shortly after a window of usage was reported.
package main

import "time"

const (
	window = 5 * time.Second
	// stopBefore is the time between the SIGTERM of an instance and the end of a window.
	stopBefore = 3 * time.Second
	watchFor   = 8 * time.Second
)

func main() {
	c := startDrillCase()
	holder := c.cloud.await("a holder", func(call) bool { return true }).holder
	time.Sleep(2 * time.Second)
	end := time.Now().Truncate(window).Add(2 * window)
	time.Sleep(time.Until(end.Add(-stopBefore)))
	for name, instance := range c.instances {
		if name != holder {
			c.restart(instance)
			break
		}
	}
	number := end.UnixNano()/int64(window) - 1
	c.cloud.await("the report of the window", func(call) bool { return c.cloud.reported(number) })
	c.Log("window %d is reported", number)
	if c.Trouble {
		c.store.drill(c.writeAll)
	}
	time.Sleep(watchFor)
	c.finish(c.cloud.conflicts)
}
