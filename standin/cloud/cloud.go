// Package cloud simulates the cloud API and the instance list: a delayed list, prices, starts
// that can be refused, stops, and reclaims with notices. Started instances are engines and plain
// services that run in this process.
//
// # Usage
//
//	c := cloud.New(cfg, http.DefaultClient)
//	go c.Run(ctx)
//	err := httpjson.Serve(ctx, "127.0.0.1:8600", c)
//
// Instances of other processes are registered by POST /standin/register. POST /standin/reclaim
// marks instances as leaving in the list, issues notices and notifies the backend servers.
//
// # Locks
//
// The mutex of a Cloud guards its table and faults.
package cloud

import (
	"context"
	"net/http"
	"net/url"
	"slices"
	"strconv"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"

	"papayaport.dev/serving/process/platform"
	"papayaport.dev/serving/process/platform/exchange"
	"papayaport.dev/standin/httpjson"
)

const (
	// notifyTimeout is the timeout of the calls that notify backend servers of a reclaim.
	notifyTimeout = 2 * time.Second
	// expireInterval is the interval at which reclaimed instances are removed.
	expireInterval = 20 * time.Millisecond
	// maxWait is the longest wait of a call for notices.
	maxWait = time.Minute
)

// Config describes a cloud.
type Config struct {
	// ListLagMS is the delay of the instance list in milliseconds.
	ListLagMS int64 `json:"list_lag_ms"`
	// StartMS is the duration of a start in milliseconds.
	StartMS int64            `json:"start_ms"`
	Region  string           `json:"region"`
	Prices  []platform.Price `json:"prices"`
	// Templates describes the instances to start, by service.
	Templates map[string]Template `json:"templates"`
	Seed      uint64              `json:"seed"`
}

// Faults are the faults that a cloud injects, set by POST /standin/faults. Every call replaces
// all previous faults.
type Faults struct {
	// RefuseStarts refuses all starts.
	RefuseStarts bool `json:"refuse_starts"`
	// RefuseReclaimable refuses starts of reclaimable instances.
	RefuseReclaimable bool `json:"refuse_reclaimable"`
	// RefuseDomain refuses starts in one failure domain.
	RefuseDomain string `json:"refuse_domain"`
	// RefuseShare is the probability that a start is refused.
	RefuseShare float64 `json:"refuse_share"`
	// Outage answers every call of the API and the list with status 503.
	Outage bool `json:"outage"`
	// HoldNotices withholds notices.
	HoldNotices bool `json:"hold_notices"`
}

func (f Faults) refuses(in platform.Start) bool {
	return f.RefuseStarts || f.RefuseReclaimable && in.Reclaimable || f.RefuseDomain != "" && f.RefuseDomain == in.FailureDomain
}

// Reclaim is the body of POST /standin/reclaim. It selects the instances with the given ids, and
// the reclaimable backend servers and entry instances of a failure domain.
type Reclaim struct {
	FailureDomain string   `json:"failure_domain,omitempty"`
	Instances     []string `json:"instances,omitempty"`
	LeaveInMS     int64    `json:"leave_in_ms"`
}

func (r Reclaim) selects(in platform.Instance) bool {
	if slices.Contains(r.Instances, in.ID) {
		return true
	}
	return r.FailureDomain != "" && r.FailureDomain == in.FailureDomain && in.Reclaimable
}

// Cloud is the HTTP handler of the cloud API and the instance list.
type Cloud struct {
	cfg   Config
	http  *http.Client
	mux   *http.ServeMux
	hosts hosts

	mu      sync.Mutex
	table   *table
	faults  Faults
	changes chan struct{}
}

// New returns a cloud without instances. It notifies backend servers of reclaims by httpClient.
func New(cfg Config, httpClient *http.Client) *Cloud {
	c := &Cloud{
		cfg:     cfg,
		http:    httpClient,
		mux:     http.NewServeMux(),
		table:   newTable(cfg.Prices, cfg.Seed),
		changes: make(chan struct{}),
	}
	c.hosts = newHosts(httpClient)
	c.mux.HandleFunc("GET "+platform.InstancesPath, c.api(c.list))
	c.mux.HandleFunc("GET "+platform.PricesPath, c.api(c.prices))
	c.mux.HandleFunc("POST "+platform.InstancesPath, c.api(c.start))
	c.mux.HandleFunc("DELETE "+platform.InstancesPath+"/{id}", c.api(c.stop))
	c.mux.HandleFunc("GET "+platform.NoticesPath, c.api(c.notices))
	c.mux.HandleFunc("POST /standin/register", c.register)
	c.mux.HandleFunc("DELETE /standin/register/{id}", c.stop)
	c.mux.HandleFunc("POST /standin/reclaim", c.reclaim)
	c.mux.HandleFunc("POST /standin/faults", c.setFaults)
	return c
}

// ServeHTTP implements http.Handler.
func (c *Cloud) ServeHTTP(w http.ResponseWriter, r *http.Request) { c.mux.ServeHTTP(w, r) }

// Run removes reclaimed instances at the end of their notice until ctx ends, and then stops the
// instances of this process.
func (c *Cloud) Run(ctx context.Context) error {
	defer c.hosts.closeAll()
	ticker := time.NewTicker(expireInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case now := <-ticker.C:
			c.mu.Lock()
			c.table.expire(now)
			c.mu.Unlock()
		}
	}
}

// api wraps a handler and answers with status 503 during an outage.
func (c *Cloud) api(serve http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		if c.currentFaults().Outage {
			httpjson.Fail(w, http.StatusServiceUnavailable, "outage")
			return
		}
		serve(w, r)
	}
}

func (c *Cloud) currentFaults() Faults {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.faults
}

func (c *Cloud) list(w http.ResponseWriter, _ *http.Request) {
	c.mu.Lock()
	list := c.table.list(time.Now(), time.Duration(c.cfg.ListLagMS)*time.Millisecond)
	c.mu.Unlock()
	httpjson.Write(w, http.StatusOK, list)
}

func (c *Cloud) prices(w http.ResponseWriter, _ *http.Request) {
	c.mu.Lock()
	defer c.mu.Unlock()
	httpjson.Write(w, http.StatusOK, platform.Prices{Prices: c.table.prices})
}

func (c *Cloud) notices(w http.ResponseWriter, r *http.Request) {
	after, _ := strconv.ParseUint(r.URL.Query().Get("after"), 10, 64)
	waitMS, _ := strconv.ParseInt(r.URL.Query().Get("wait_ms"), 10, 64)
	timer := time.NewTimer(min(maxWait, time.Duration(waitMS)*time.Millisecond))
	defer timer.Stop()
	for {
		found, changes := c.noticesAfter(after)
		if len(found.Notices) > 0 {
			httpjson.Write(w, http.StatusOK, found)
			return
		}
		select {
		case <-changes:
		case <-timer.C:
			httpjson.Write(w, http.StatusOK, found)
			return
		case <-r.Context().Done():
			return
		}
	}
}

func (c *Cloud) noticesAfter(after uint64) (platform.Notices, <-chan struct{}) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.faults.HoldNotices {
		return platform.Notices{Notices: []platform.Notice{}, Next: after}, c.changes
	}
	return c.table.noticesSince(time.Now(), after), c.changes
}

// notifyWaiters makes waiting calls check for notices again. The caller holds c.mu.
func (c *Cloud) notifyWaiters() {
	close(c.changes)
	c.changes = make(chan struct{})
}

func (c *Cloud) register(w http.ResponseWriter, r *http.Request) {
	var in platform.Instance
	if !httpjson.Read(w, r, &in) {
		return
	}
	c.mu.Lock()
	registered := c.table.register(time.Now(), in)
	c.mu.Unlock()
	httpjson.Write(w, http.StatusOK, registered)
}

func (c *Cloud) stop(w http.ResponseWriter, r *http.Request) {
	id := r.PathValue("id")
	c.mu.Lock()
	found := c.table.remove(time.Now(), id)
	c.mu.Unlock()
	if !found {
		httpjson.Fail(w, http.StatusNotFound, "no such instance")
		return
	}
	c.hosts.close(id)
	w.WriteHeader(http.StatusNoContent)
}

func (c *Cloud) setFaults(w http.ResponseWriter, r *http.Request) {
	var in Faults
	if !httpjson.Read(w, r, &in) {
		return
	}
	c.mu.Lock()
	c.faults = in
	c.notifyWaiters()
	c.mu.Unlock()
	w.WriteHeader(http.StatusNoContent)
}

func (c *Cloud) reclaim(w http.ResponseWriter, r *http.Request) {
	var in Reclaim
	if !httpjson.Read(w, r, &in) {
		return
	}
	c.mu.Lock()
	reclaimed := c.table.reclaim(time.Now(), in)
	c.notifyWaiters()
	c.mu.Unlock()
	c.notifyBackends(r.Context(), reclaimed, in.LeaveInMS)
	httpjson.Write(w, http.StatusOK, platform.Instances{Instances: reclaimed})
}

// notifyBackends notifies the reclaimed backend servers. Failed calls are ignored.
func (c *Cloud) notifyBackends(ctx context.Context, reclaimed []platform.Instance, leaveInMS int64) {
	ctx, cancel := context.WithTimeout(ctx, notifyTimeout)
	defer cancel()
	var group errgroup.Group
	for _, in := range reclaimed {
		if in.Role != platform.BackendRole {
			continue
		}
		group.Go(func() error {
			body := Reclaim{LeaveInMS: leaveInMS}
			_, err := exchange.Do(ctx, c.http, http.MethodPost, in.Address+"/standin/reclaim", body, nil)
			return err
		})
	}
	_ = group.Wait()
}

// start handles the start of an instance, which runs in this process.
func (c *Cloud) start(w http.ResponseWriter, r *http.Request) {
	var in platform.Start
	if !httpjson.Read(w, r, &in) {
		return
	}
	template, known := c.cfg.Templates[in.Service]
	if !known {
		httpjson.Fail(w, http.StatusBadRequest, "no template for service "+strconv.Quote(in.Service))
		return
	}
	c.mu.Lock()
	earlier, id, ok := c.table.admitStart(in, c.faults)
	c.mu.Unlock()
	switch {
	case !ok:
		httpjson.Fail(w, http.StatusServiceUnavailable, "no capacity")
		return
	case earlier != nil:
		httpjson.Write(w, http.StatusOK, earlier)
		return
	}
	time.Sleep(time.Duration(c.cfg.StartMS) * time.Millisecond)
	address, incarnation, err := c.hosts.start(id, template)
	if err != nil {
		httpjson.Fail(w, http.StatusServiceUnavailable, err.Error())
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	httpjson.Write(w, http.StatusOK, c.table.register(time.Now(), platform.Instance{
		ID: id, Incarnation: incarnation, Role: platform.BackendRole, Service: in.Service,
		Address: (&url.URL{Scheme: "http", Host: address}).String(), Region: c.cfg.Region,
		FailureDomain: in.FailureDomain, Class: in.Class, Reclaimable: in.Reclaimable,
	}))
}
