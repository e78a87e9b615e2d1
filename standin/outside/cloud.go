package outside

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"slices"
	"sort"
	"strconv"
	"sync"
)

func sortItems(items []Item) {
	sort.Slice(items, func(i, j int) bool { return items[i].Key < items[j].Key })
}

// Cloud is the platform's cloud API. It keeps the calls and what is wrong with them.
type Cloud struct {
	mu      sync.Mutex
	fencing uint64
	holders map[uint64]string
	reports map[int64]string
	orders  map[string]int
	faults  []string
	refuse  bool
}

// NewCloud returns an API without calls.
func NewCloud() *Cloud {
	return &Cloud{holders: map[uint64]string{}, reports: map[int64]string{}, orders: map[string]int{}}
}

// RefuseReclaimable lets the API have no reclaimable servers, or have them again.
func (c *Cloud) RefuseReclaimable(refuse bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.refuse = refuse
}

// Reports returns the accepted usage reports by window, as they were sent.
func (c *Cloud) Reports() map[int64]string {
	c.mu.Lock()
	defer c.mu.Unlock()
	reports := map[int64]string{}
	for window, counts := range c.reports {
		reports[window] = counts
	}
	return reports
}

// Orders returns the last accepted count by "SERVICE/ZONE/reclaimable" or ".../on_demand".
func (c *Cloud) Orders() map[string]int {
	c.mu.Lock()
	defer c.mu.Unlock()
	orders := map[string]int{}
	for name, count := range c.orders {
		orders[name] = count
	}
	return orders
}

// Faults returns what was wrong: two reports of a window, two holders of a fencing
// number, or a number that fell.
func (c *Cloud) Faults() []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return slices.Clone(c.faults)
}

// ServeHTTP answers one call.
func (c *Cloud) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.checkHolder(r.Header)
	switch r.URL.Path {
	case "/usage":
		w.WriteHeader(c.report(body))
	case "/scaling":
		w.WriteHeader(c.order(body))
	default:
		w.WriteHeader(http.StatusNotFound)
	}
}

func (c *Cloud) fault(format string, args ...any) {
	c.faults = append(c.faults, fmt.Sprintf(format, args...))
}

func (c *Cloud) checkHolder(header http.Header) {
	holder := header.Get("X-Papayaport-Duty-Holder")
	fencing, err := strconv.ParseUint(header.Get("X-Papayaport-Fencing-Token"), 10, 64)
	if err != nil || holder == "" {
		c.fault("a call without holder or fencing number")
		return
	}
	if fencing < c.fencing {
		c.fault("%s came with %d after %d", holder, fencing, c.fencing)
	}
	if known, found := c.holders[fencing]; found && known != holder {
		c.fault("%s and %s share %d", known, holder, fencing)
	}
	c.fencing, c.holders[fencing] = max(c.fencing, fencing), holder
}

func (c *Cloud) report(body []byte) int {
	var sent struct {
		Window int64          `json:"window_number"`
		Counts map[string]int `json:"counts"`
	}
	if err := json.Unmarshal(body, &sent); err != nil || sent.Counts == nil {
		c.fault("an unreadable report: %s", body)
		return http.StatusBadRequest
	}
	counts, err := json.Marshal(sent.Counts) // sorts the names
	if err != nil {
		return http.StatusBadRequest
	}
	if known, found := c.reports[sent.Window]; found && known != string(counts) {
		c.fault("window %d was reported as %s and as %s", sent.Window, known, counts)
	}
	c.reports[sent.Window] = string(counts)
	return http.StatusOK
}

func (c *Cloud) order(body []byte) int {
	var sent struct {
		Service string `json:"service"`
		Zone    string `json:"zone"`
		Count   int    `json:"desired_count"`
		Spot    bool   `json:"spot"`
	}
	if err := json.Unmarshal(body, &sent); err != nil {
		return http.StatusBadRequest
	}
	kind := "on_demand"
	if sent.Spot {
		kind = "reclaimable"
		if c.refuse {
			return http.StatusConflict
		}
	}
	c.orders[sent.Service+"/"+sent.Zone+"/"+kind] = sent.Count
	return http.StatusOK
}
