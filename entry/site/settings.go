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

// Settings are the start-up settings of an entry instance.
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
	// AdvertisedPeers is the address "IP:PORT" at which peers reach this instance; the default
	// is Peers.
	AdvertisedPeers string `json:"advertised_peers,omitempty"`

	// SeedPeers are the addresses of peers to contact first.
	SeedPeers []string `json:"seed_peers"`
	// Store and Cloud are the addresses "IP:PORT" of the platform's services.
	Store string `json:"store"`
	Cloud string `json:"cloud"`

	MemoryMB int `json:"memory_mb"`
	// FileDescriptors is the number of descriptors that the process may open, 0 for the limit of the
	// operating system.
	FileDescriptors int `json:"file_descriptors,omitempty"`
	// GraceS is the time between SIGTERM and SIGKILL in seconds.
	GraceS float64 `json:"grace_s"`
	// LeaseMS is the time in milliseconds for which the platform ties a duty to its holder.
	LeaseMS int64 `json:"lease_ms"`
	// LeavingMS is the time in milliseconds within which new work for a leaving backend server
	// has to stop.
	LeavingMS int64 `json:"leaving_ms"`

	Retry RetrySettings `json:"retry"`
	Usage UsageSettings `json:"usage"`
	Quota QuotaSettings `json:"quota"`

	Scarcity ScarcitySettings `json:"scarcity"`
	// Rollout bounds the exposure to new versions. Without it roll-out orders are ignored.
	Rollout *RolloutSettings `json:"rollout,omitempty"`

	// RelayedFrom is the number of entry instances from which on only a few of each failure
	// domain read the store and the others query these.
	RelayedFrom int `json:"relayed_from"`

	// Policy is the routing policy.
	Policy   string `json:"policy"`
	LogLevel string `json:"log_level"`
}

// RetrySettings is the retry budget of a service over all entry instances.
type RetrySettings struct {
	// Ratio is the number of retries per request.
	Ratio float64 `json:"ratio"`
	// WindowS is the length of the budget's window in seconds.
	WindowS float64 `json:"window_s"`
	// Allowance is the number of retries that are allowed in a window without requests.
	Allowance float64 `json:"allowance"`
}

// QuotaSettings bounds by how much the use of a client account may exceed its limit in a
// window, over all entry instances.
type QuotaSettings struct {
	// WindowS is the length of the window in seconds.
	WindowS float64 `json:"window_s"`
	// Overrun is the share of the limit by which the use in a window may exceed it.
	Overrun float64 `json:"overrun"`
	// Slack is a number of tokens that may be used in addition.
	Slack float64 `json:"slack"`
	// PooledFrom is the number of entry instances from which on the limits of accounts are
	// enforced by pools.
	PooledFrom int `json:"pooled_from"`
}

// defaultRelayedFrom is the default of RelayedFrom. In smaller fleets a third or more of the
// instances would be readers.
const defaultRelayedFrom = 24

const (
	// toleranceShare is the share of the tolerance that is added to bursts. The rest covers the
	// delay with which entry instances receive each other's demand.
	toleranceShare = 0.3
	// debtShare is the share of the tolerance by which large requests may take the pools of an
	// account below zero.
	debtShare = 0.35
	// startShare is the share of the tolerance that a fleet pays into pools at its start. What
	// the three shares leave is for pools that move to another instance.
	startShare = 0.2
	// remainderShare bounds the additional payment for accounts whose pools were full when the
	// fleet ended, as a share of the tolerance. Deficits that could not be stored in time may be too
	// low, and then the tolerance has to cover the payment.
	remainderShare = 0.8
)

// tolerance returns by how many tokens an account may exceed rate and burst in a window.
func (q QuotaSettings) tolerance(rate, burst float64) float64 {
	return q.Overrun*(rate*q.WindowS+burst) + q.Slack
}

// burst returns the burst of an account in tokens: its configured burst and a share of the
// tolerance.
func (q QuotaSettings) burst(rate, burst float64) float64 {
	return burst + toleranceShare*q.tolerance(rate, burst)
}

// debt returns by how many tokens large requests may take the pools of an account below zero.
func (q QuotaSettings) debt(rate, burst float64) float64 { return debtShare * q.tolerance(rate, burst) }

// start returns the number of tokens that all instances of a fleet pay together when it starts.
func (q QuotaSettings) start(rate, burst float64) float64 {
	return startShare * q.tolerance(rate, burst)
}

// remainder returns the number of tokens that all instances pay in addition for an account whose
// pools were full when the fleet ended.
func (q QuotaSettings) remainder(rate, burst float64) float64 {
	return min(burst, remainderShare*q.tolerance(rate, burst))
}

// UsageSettings describes the usage reports.
type UsageSettings struct {
	// WindowS is the length of a reported window in seconds.
	WindowS float64 `json:"window_s"`
}

// RolloutSettings bounds the requests that a new version of backend servers receives before its
// trial has passed, over all entry instances.
type RolloutSettings struct {
	// ExposureShare is the share of a service's requests between an order and its deadline
	// that a bad version may receive, and ExposureSlack a number of requests in addition.
	ExposureShare float64 `json:"exposure_share"`
	ExposureSlack float64 `json:"exposure_slack"`
	// RollbackMS is the time in milliseconds within which requests to a version stop once it
	// has proved bad.
	RollbackMS float64 `json:"rollback_ms"`
}

func (r *RolloutSettings) limits() rollout.Limits {
	return rollout.Limits{
		ExposureShare: r.ExposureShare, ExposureSlack: r.ExposureSlack,
		Rollback: time.Duration(r.RollbackMS * float64(time.Millisecond)),
	}
}

func (r *RolloutSettings) validate(add func(field string, value any, allowed string)) {
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

// Parse decodes settings and returns all errors, each with file, field, value and the allowed
// values.
func Parse(file string, data []byte) (Settings, []string) {
	set := Settings{Policy: route.Papayaport + "_no_price", LogLevel: "info", RelayedFrom: defaultRelayedFrom, Quota: QuotaSettings{PooledFrom: quota.DefaultPooledFrom}, Scarcity: ScarcitySettings{Enabled: true}}
	decoder := json.NewDecoder(bytes.NewReader(data))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(&set); err != nil {
		return set, []string{fmt.Sprintf("%s: %v", file, err)}
	}
	if set.AdvertisedPeers == "" {
		set.AdvertisedPeers = set.Peers
	}
	return set, set.validate(file)
}

func (s *Settings) validate(file string) []string {
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
	if s.FileDescriptors < 0 {
		add("file_descriptors", s.FileDescriptors, "a number from 0")
	}
	if s.Retry.Ratio < 0 || s.Retry.Allowance < 0 {
		add("retry", s.Retry, "numbers from 0")
	}
	if s.Rollout != nil {
		s.Rollout.validate(add)
	}
	if _, err := logrus.ParseLevel(s.LogLevel); err != nil {
		add("log_level", s.LogLevel, "debug, info, warning or error")
	}
	return faults
}
