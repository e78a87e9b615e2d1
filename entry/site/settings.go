package site

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net"
	"time"

	"github.com/sirupsen/logrus"

	"papayaport.dev/serving/request/quota"
	"papayaport.dev/serving/request/route"
	"papayaport.dev/serving/version/rollout"
)

// Settings is what an entry instance of a site learns at its start.
type Settings struct {
	// Instance is the id of this entry instance.
	Instance       string   `json:"instance"`
	Region         string   `json:"region"`
	FailureDomain  string   `json:"failure_domain"`
	FailureDomains []string `json:"failure_domains"`

	// Callers, Ready, Peers and Metrics are the addresses "IP:PORT" of the listeners;
	// Metrics may be empty.
	Callers string `json:"callers"`
	Ready   string `json:"ready"`
	Peers   string `json:"peers"`
	Metrics string `json:"metrics,omitempty"`
	// AdvertisedPeers is the address "IP:PORT" at which peers reach this instance, Peers
	// when empty.
	AdvertisedPeers string `json:"advertised_peers,omitempty"`

	// SeedPeers are peer addresses to ask first.
	SeedPeers []string `json:"seed_peers"`
	// Store and Cloud are the addresses "IP:PORT" of the platform's services.
	Store string `json:"store"`
	Cloud string `json:"cloud"`

	MemoryMB int `json:"memory_mb"`
	// GraceS is the time between SIGTERM and SIGKILL in seconds.
	GraceS float64 `json:"grace_s"`
	// LeaseMS is the time for which a duty stays with its holder in milliseconds.
	LeaseMS int64 `json:"lease_ms"`
	// LeavingMS is the time in milliseconds within which a leaving backend server gets no
	// new work.
	LeavingMS int64 `json:"leaving_ms"`

	Retry RetrySettings `json:"retry"`
	Usage UsageSettings `json:"usage"`
	Quota QuotaSettings `json:"quota"`

	// Rollout bounds the exposure to new versions. Without it orders to roll one out are ignored.
	Rollout *RolloutSettings `json:"rollout,omitempty"`

	// RelayedFrom is the number of entry instances from which on a few of each failure
	// domain read the store and the others ask them.
	RelayedFrom int `json:"relayed_from"`

	// Policy is the routing policy.
	Policy   string `json:"policy"`
	LogLevel string `json:"log_level"`
}

// RetrySettings is the budget of repeated sends of a service over all entry instances.
type RetrySettings struct {
	// Ratio is the number of repeats for each request.
	Ratio float64 `json:"ratio"`
	// WindowS is the window that the budget holds in, in seconds.
	WindowS float64 `json:"window_s"`
	// Allowance is the number of repeats in a window without requests.
	Allowance float64 `json:"allowance"`
}

// QuotaSettings is how far the use of a client account may pass its limit in a window, over
// all entry instances.
type QuotaSettings struct {
	// WindowS is the length of the window in seconds.
	WindowS float64 `json:"window_s"`
	// Overrun is the share of the limit by which a window may pass it.
	Overrun float64 `json:"overrun"`
	// Slack is the number of tokens that may come on top.
	Slack float64 `json:"slack"`
	// PooledFrom is the number of entry instances from which on the limits of accounts are kept
	// in pools.
	PooledFrom int `json:"pooled_from"`
}

// usualRelayedFrom is RelayedFrom when the settings name none: a third and more of the
// instances read below it.
const usualRelayedFrom = 24

const (
	// toleranceShare is the part of the tolerance that bursts use; the rest covers shares of
	// entry instances that learn of each other's demand late.
	toleranceShare = 0.3
	// debtShare is the part of the tolerance by which large requests may take the pools of an
	// account below zero.
	debtShare = 0.35
	// startShare is the part of the tolerance that a fleet pays at its start. What the three
	// leave is for pools that change hands.
	startShare = 0.2
)

// tolerance returns by how many tokens an account may pass rate and burst in a window.
func (q QuotaSettings) tolerance(rate, burst float64) float64 {
	return q.Overrun*(rate*q.WindowS+burst) + q.Slack
}

// burst returns what an account may use at once: its own burst and a part of the tolerance.
func (q QuotaSettings) burst(rate, burst float64) float64 {
	return burst + toleranceShare*q.tolerance(rate, burst)
}

// debt returns how far large requests may take the pools of an account below zero.
func (q QuotaSettings) debt(rate, burst float64) float64 { return debtShare * q.tolerance(rate, burst) }

// start returns what the instances of a whole fleet that starts together pay at first.
func (q QuotaSettings) start(rate, burst float64) float64 {
	return startShare * q.tolerance(rate, burst)
}

// UsageSettings describes the usage reports.
type UsageSettings struct {
	// WindowS is the length of a reported window in seconds.
	WindowS float64 `json:"window_s"`
}

// RolloutSettings bounds the requests that a version of backend servers gets before it is
// trusted, over all entry instances.
type RolloutSettings struct {
	// ExposureShare is the share of a service's requests between an order and its deadline
	// that a bad version may get, and ExposureSlack the number of requests on top.
	ExposureShare float64 `json:"exposure_share"`
	ExposureSlack float64 `json:"exposure_slack"`
	// RollbackMS is the time in milliseconds after which a version that has shown itself bad
	// gets nothing.
	RollbackMS float64 `json:"rollback_ms"`
}

func (r *RolloutSettings) limits() rollout.Limits {
	return rollout.Limits{
		ExposureShare: r.ExposureShare, ExposureSlack: r.ExposureSlack,
		Rollback: time.Duration(r.RollbackMS * float64(time.Millisecond)),
	}
}

func (r *RolloutSettings) addFaults(add func(field string, value any, allowed string)) {
	if r.ExposureShare <= 0 || r.ExposureShare > 1 {
		add("rollout.exposure_share", r.ExposureShare, "a number above 0 and up to 1")
	}
	if r.ExposureSlack < 0 {
		add("rollout.exposure_slack", r.ExposureSlack, "a number from 0")
	}
	if r.RollbackMS <= 0 {
		add("rollout.rollback_ms", r.RollbackMS, "a number above 0")
	}
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

func milliseconds(ms int64) time.Duration { return time.Duration(ms) * time.Millisecond }

// Parse reads settings and returns all faults, each with file, field, value and what is
// allowed.
func Parse(file string, data []byte) (Settings, []string) {
	set := Settings{Policy: route.Papayaport + "_no_price", LogLevel: "info", RelayedFrom: usualRelayedFrom, Quota: QuotaSettings{PooledFrom: quota.UsualPooledFrom}}
	decoder := json.NewDecoder(bytes.NewReader(data))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(&set); err != nil {
		return set, []string{fmt.Sprintf("%s: %v", file, err)}
	}
	if set.AdvertisedPeers == "" {
		set.AdvertisedPeers = set.Peers
	}
	return set, set.faults(file)
}

func (s *Settings) faults(file string) []string {
	var faults []string
	add := func(field string, value any, allowed string) {
		faults = append(faults, fmt.Sprintf("%s: %s is %q, allowed is %s", file, field, fmt.Sprint(value), allowed))
	}
	for field, value := range map[string]string{"instance": s.Instance, "region": s.Region, "failure_domain": s.FailureDomain} {
		if value == "" {
			add(field, value, "a name")
		}
	}
	for field, value := range map[string]string{"callers": s.Callers, "ready": s.Ready, "peers": s.Peers, "advertised_peers": s.AdvertisedPeers, "store": s.Store} {
		if _, _, err := net.SplitHostPort(value); err != nil {
			add(field, value, "IP:PORT")
		}
	}
	for field, value := range map[string]float64{
		"memory_mb": float64(s.MemoryMB), "grace_s": s.GraceS, "lease_ms": float64(s.LeaseMS),
		"leaving_ms": float64(s.LeavingMS), "retry.window_s": s.Retry.WindowS, "usage.window_s": s.Usage.WindowS, "quota.window_s": s.Quota.WindowS,
		"quota.pooled_from": float64(s.Quota.PooledFrom), "relayed_from": float64(s.RelayedFrom),
	} {
		if value <= 0 {
			add(field, value, "a number above 0")
		}
	}
	if s.Retry.Ratio < 0 || s.Retry.Allowance < 0 {
		add("retry", s.Retry, "numbers from 0")
	}
	if s.Rollout != nil {
		s.Rollout.addFaults(add)
	}
	if _, err := logrus.ParseLevel(s.LogLevel); err != nil {
		add("log_level", s.LogLevel, "debug, info, warning or error")
	}
	return faults
}
