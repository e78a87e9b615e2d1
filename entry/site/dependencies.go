package site

import (
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"papayaport.dev/serving/process/clock"
)

// dependencyHealth tracks which external services are reachable, and logs changes.
type dependencyHealth struct {
	mu   sync.Mutex
	lost map[string]time.Time
}

// record records the result of a call, and reports whether the service became reachable again.
func (c *dependencyHealth) record(log *logrus.Entry, name string, err error) bool {
	c.mu.Lock()
	since, lost := c.lost[name]
	switch {
	case err != nil && !lost:
		if c.lost == nil {
			c.lost = map[string]time.Time{}
		}
		c.lost[name] = clock.Boot()
	case err == nil && lost:
		delete(c.lost, name)
	}
	c.mu.Unlock()
	switch {
	case err != nil && !lost:
		log.WithError(err).WithField("dependency", name).Warn("site: dependency lost")
	case err == nil && lost:
		log.WithFields(logrus.Fields{"dependency": name, "after_ms": clock.Boot().Sub(since).Milliseconds()}).
			Info("site: dependency recovered")
	}
	return err == nil && lost
}
