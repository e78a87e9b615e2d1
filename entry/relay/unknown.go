package relay

import (
	"sync"

	"github.com/sirupsen/logrus"
)

// maxUnknown bounds the names of unknown fields that are kept, since servers choose them.
const maxUnknown = 64

// unknownFields names the fields of backend servers' answers that the dialect doesn't know
// and that were logged. A server may ask for something in them.
type unknownFields struct {
	mu    sync.Mutex
	names map[string]bool
}

// note logs the names that are new.
func (u *unknownFields) note(log *logrus.Entry, backend string, names []string) {
	if len(names) == 0 {
		return
	}
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.names == nil {
		u.names = map[string]bool{}
	}
	for _, name := range names {
		if u.names[name] || len(u.names) >= maxUnknown {
			continue
		}
		u.names[name] = true
		log.WithFields(logrus.Fields{"backend": backend, "field": name}).
			Warn("relay: backend servers send a field that is not known")
	}
}
