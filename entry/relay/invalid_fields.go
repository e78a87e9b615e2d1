package relay

import (
	"sync"

	"github.com/sirupsen/logrus"
)

// maxLoggedFields bounds the field names that are kept, since they come from backend servers.
const maxLoggedFields = 64

// invalidFields logs header fields of backend servers' responses that are unknown or malformed,
// each once. Such a field may carry a request of the server that has no effect.
type invalidFields struct {
	mu     sync.Mutex
	logged map[string]bool
}

// warn logs those of the fields that were not logged before.
func (o *invalidFields) warn(log *logrus.Entry, backend, what string, fields []string) {
	if len(fields) == 0 {
		return
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.logged == nil {
		o.logged = map[string]bool{}
	}
	for _, field := range fields {
		if o.logged[field] || len(o.logged) >= maxLoggedFields {
			continue
		}
		o.logged[field] = true
		log.WithFields(logrus.Fields{"backend": backend, "field": field}).Warn("relay: a backend server sends " + what)
	}
}
