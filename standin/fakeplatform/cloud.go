package fakeplatform

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

// Cloud is the platform's cloud API. It records the calls and the protocol violations in them.
type Cloud struct {
	mu                sync.Mutex
	fencing           uint64
	holders           map[uint64]string
	reports           map[int64]string
	orders            map[string]int
	faults            []string
	refuseReclaimable bool
}

// NewCloud returns an API that has received no calls.
func NewCloud() *Cloud {
	return &Cloud{holders: map[uint64]string{}, reports: map[int64]string{}, orders: map[string]int{}}
}

// RefuseReclaimable sets whether orders of reclaimable servers are refused.
func (c *Cloud) RefuseReclaimable(refuseReclaimable bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.refuseReclaimable = refuseReclaimable
}

// Reports returns the accepted usage reports by window, encoded as JSON with sorted names.
func (c *Cloud) Reports() map[int64]string {
	c.mu.Lock()
	defer c.mu.Unlock()
	reports := map[int64]string{}
	for window, counts := range c.reports {
		reports[window] = counts
	}
	return reports
}

// Orders returns the last accepted desired count by "SERVICE/ZONE/reclaimable" or
// "SERVICE/ZONE/on_demand".
func (c *Cloud) Orders() map[string]int {
	c.mu.Lock()
	defer c.mu.Unlock()
	orders := map[string]int{}
	for name, count := range c.orders {
		orders[name] = count
	}
	return orders
}

// Faults returns the violations: different reports of one window, two holders of one fencing
// token, or a token lower than an earlier one.
func (c *Cloud) Faults() []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return slices.Clone(c.faults)
}

// ServeHTTP handles one API call.
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
		w.WriteHeader(c.handleUsage(body))
	case "/scaling":
		w.WriteHeader(c.handleScaling(body))
	default:
		w.WriteHeader(http.StatusNotFound)
	}
}

func (c *Cloud) addFault(format string, args ...any) {
	c.faults = append(c.faults, fmt.Sprintf(format, args...))
}

func (c *Cloud) checkHolder(header http.Header) {
	holder := header.Get("X-Papayaport-Duty-Holder")
	fencing, err := strconv.ParseUint(header.Get("X-Papayaport-Fencing-Token"), 10, 64)
	if err != nil || holder == "" {
		c.addFault("call without holder or fencing token")
		return
	}
	if fencing < c.fencing {
		c.addFault("%s sent fencing token %d after %d", holder, fencing, c.fencing)
	}
	if previous, found := c.holders[fencing]; found && previous != holder {
		c.addFault("%s and %s share fencing token %d", previous, holder, fencing)
	}
	c.fencing, c.holders[fencing] = max(c.fencing, fencing), holder
}

func (c *Cloud) handleUsage(body []byte) int {
	var sent struct {
		Window int64          `json:"window_number"`
		Counts map[string]int `json:"counts"`
	}
	if err := json.Unmarshal(body, &sent); err != nil || sent.Counts == nil {
		c.addFault("malformed usage report: %s", body)
		return http.StatusBadRequest
	}
	counts, err := json.Marshal(sent.Counts) // sorts the names
	if err != nil {
		return http.StatusBadRequest
	}
	if previous, found := c.reports[sent.Window]; found && previous != string(counts) {
		c.addFault("window %d was reported as %s and as %s", sent.Window, previous, counts)
	}
	c.reports[sent.Window] = string(counts)
	return http.StatusOK
}

func (c *Cloud) handleScaling(body []byte) int {
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
		if c.refuseReclaimable {
			return http.StatusConflict
		}
	}
	c.orders[sent.Service+"/"+sent.Zone+"/"+kind] = sent.Count
	return http.StatusOK
}
