// Package settings reads the daemon's settings: one JSON file that is fully validated before
// anything starts.
//
// # Usage
//
//	set, faults := settings.Parse("entry.json", data)
//	if len(faults) > 0 {
//		// every fault holds the file, the field, its value and the allowed values
//	}
package settings

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/url"
	"strings"
	"time"

	"github.com/pkg/errors"
)

// Settings is the startup configuration of a daemon.
type Settings struct {
	// Instance is the id of this entry instance in the platform's instance list.
	Instance string `json:"instance"`
	// Incarnation distinguishes this process from earlier ones; 0 means the start time in
	// milliseconds.
	Incarnation   uint64 `json:"incarnation,omitempty"`
	Region        string `json:"region"`
	FailureDomain string `json:"failure_domain"`

	Callers        Listener `json:"callers"`
	Peers          Listener `json:"peers"`
	Administration Listener `json:"administration"`
	TLS            TLS      `json:"tls"`

	Store     Store    `json:"store"`
	Instances Endpoint `json:"instances"`
	Cloud     Endpoint `json:"cloud"`

	// SeedPeers are the addresses of the peers to contact first.
	SeedPeers []string `json:"seed_peers,omitempty"`
	// OperatorTokensFile contains lines of the form "NAME SHA256HEX".
	OperatorTokensFile string `json:"operator_tokens_file,omitempty"`

	Limits  Limits  `json:"limits"`
	Routing Routing `json:"routing"`
	Stop    Stop    `json:"stop"`
	Log     Log     `json:"log"`
}

// Listener is the address of one listener.
type Listener struct {
	// Listen is "IP:PORT".
	Listen string `json:"listen"`
}

// TLS holds the paths of the files for TLS on all three listeners and for connections to peers.
// Empty means plain TCP.
type TLS struct {
	CertificateFile string `json:"certificate_file,omitempty"`
	KeyFile         string `json:"key_file,omitempty"`
	// AuthorityFile contains the CA certificates that peers' certificates must be signed by.
	AuthorityFile string `json:"authority_file,omitempty"`
}

// Enabled reports whether the listeners use TLS.
func (t TLS) Enabled() bool { return t.CertificateFile != "" }

// Store is the address of the platform's key-value service.
type Store struct {
	Address string `json:"address"`
	// Prefix is prepended to every key.
	Prefix string `json:"prefix,omitempty"`
}

// Endpoint is the base URL of one of the platform's services.
type Endpoint struct {
	Address string `json:"address,omitempty"`
}

// Limits bounds the requests of callers at one entry instance.
type Limits struct {
	HeaderBytes   int   `json:"header_bytes,omitempty"`
	BodyBytes     int64 `json:"body_bytes,omitempty"`
	AnswerBytes   int64 `json:"answer_bytes,omitempty"`
	BodyTimeoutMS int64 `json:"body_timeout_ms,omitempty"`
	// WriteTimeoutMS is the longest time that a caller may leave its answer unread, in
	// milliseconds.
	WriteTimeoutMS int64 `json:"write_timeout_ms,omitempty"`
	// Connections limits the open connections of callers. MemoryMB, in MB, and the descriptors of the process
	// limit them as well.
	Connections int `json:"connections,omitempty"`
	// MemoryMB is the memory of the instance in MB.
	MemoryMB int `json:"memory_mb,omitempty"`
}

// BodyTimeout returns the longest time that a caller may take to send a body.
func (l Limits) BodyTimeout() time.Duration {
	return time.Duration(l.BodyTimeoutMS) * time.Millisecond
}

// WriteTimeout returns the longest time that a caller may leave its answer unread.
func (l Limits) WriteTimeout() time.Duration {
	return time.Duration(l.WriteTimeoutMS) * time.Millisecond
}

// Routing selects the routing policy.
type Routing struct {
	Policy string `json:"policy,omitempty"`
}

// Stop configures a graceful shutdown.
type Stop struct {
	// GraceMS is the time for requests in flight to finish before they are handed over, in
	// milliseconds.
	GraceMS int64 `json:"grace_ms,omitempty"`
}

// Grace returns the time for requests in flight to finish before they are handed over.
func (s Stop) Grace() time.Duration { return time.Duration(s.GraceMS) * time.Millisecond }

// Log selects the log level and format.
type Log struct {
	Level  string `json:"level,omitempty"`
	Format string `json:"format,omitempty"`
}

// Fault is an invalid value in a settings file.
type Fault struct {
	File    string `json:"file"`
	Field   string `json:"field"`
	Value   string `json:"value"`
	Allowed string `json:"allowed"`
}

// Error implements error.
func (f Fault) Error() string {
	return fmt.Sprintf("%s: %s is %s; allowed: %s", f.File, f.Field, f.Value, f.Allowed)
}

// Defaults returns the settings for everything that a file does not set.
func Defaults() Settings {
	return Settings{
		Limits: Limits{
			HeaderBytes:    16 << 10,
			BodyBytes:      1 << 20,
			AnswerBytes:    8 << 20,
			BodyTimeoutMS:  10_000,
			WriteTimeoutMS: 30_000,
			Connections:    4_000,
			MemoryMB:       1_024,
		},
		Routing: Routing{Policy: "papayaport"},
		Stop:    Stop{GraceMS: 5_000},
		Log:     Log{Level: "info", Format: "text"},
	}
}

// Parse reads a settings file, applies it to the defaults and returns all faults found.
func Parse(file string, data []byte) (Settings, []Fault) {
	set := Defaults()
	decoder := json.NewDecoder(bytes.NewReader(data))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(&set); err != nil {
		return set, []Fault{{file, fieldOf(err), err.Error(), "a JSON object with the documented fields"}}
	}
	if _, err := decoder.Token(); !errors.Is(err, io.EOF) {
		return set, []Fault{{file, "(end)", "more data", "one JSON object"}}
	}
	c := checker{file: file}
	c.check(&set)
	return set, c.faults
}

func fieldOf(err error) string {
	var wrongType *json.UnmarshalTypeError
	if errors.As(err, &wrongType) {
		return wrongType.Field
	}
	if _, field, found := strings.Cut(err.Error(), "unknown field "); found {
		return strings.Trim(field, `"`)
	}
	return "(syntax)"
}

type checker struct {
	file   string
	faults []Fault
}

func (c *checker) add(field string, value any, allowed string) {
	c.faults = append(c.faults, Fault{c.file, field, fmt.Sprintf("%q", fmt.Sprint(value)), allowed})
}

func (c *checker) check(set *Settings) {
	c.name("instance", set.Instance)
	c.name("region", set.Region)
	c.name("failure_domain", set.FailureDomain)
	c.listen("callers.listen", set.Callers.Listen)
	c.listen("peers.listen", set.Peers.Listen)
	c.listen("administration.listen", set.Administration.Listen)
	c.distinct(set)
	c.url("store.address", set.Store.Address, true)
	c.url("instances.address", set.Instances.Address, true)
	c.url("cloud.address", set.Cloud.Address, false)
	for i, peer := range set.SeedPeers {
		c.listen(fmt.Sprintf("seed_peers[%d]", i), peer)
	}
	c.tls(set.TLS)
	c.limits(set.Limits)
	c.between("stop.grace_ms", set.Stop.GraceMS, 0, 600_000)
	c.oneOf("log.level", set.Log.Level, "debug", "info", "warning", "error")
	c.oneOf("log.format", set.Log.Format, "text", "json")
}

const nameAllowed = "1 to 64 letters, digits, '-', '_' or '.'"

func (c *checker) name(field, value string) {
	if value == "" || len(value) > 64 || strings.Trim(value, nameLetters) != "" {
		c.add(field, value, nameAllowed)
	}
}

const nameLetters = "abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ0123456789-_."

func (c *checker) listen(field, value string) {
	host, _, err := net.SplitHostPort(value)
	if err != nil || net.ParseIP(host) == nil {
		c.add(field, value, "IP:PORT")
	}
}

func (c *checker) distinct(set *Settings) {
	seen := map[string]string{}
	for _, l := range []struct{ field, address string }{
		{"callers.listen", set.Callers.Listen},
		{"peers.listen", set.Peers.Listen},
		{"administration.listen", set.Administration.Listen},
	} {
		if strings.HasSuffix(l.address, ":0") || l.address == "" {
			continue
		}
		if other, taken := seen[l.address]; taken {
			c.add(l.field, l.address, "an address other than "+other)
		}
		seen[l.address] = l.field
	}
}

func (c *checker) url(field, value string, required bool) {
	if value == "" && !required {
		return
	}
	parsed, err := url.Parse(value)
	if err != nil || parsed.Host == "" || (parsed.Scheme != "http" && parsed.Scheme != "https") {
		c.add(field, value, "http://HOST:PORT or https://HOST:PORT")
	}
}

func (c *checker) tls(t TLS) {
	if (t.CertificateFile == "") != (t.KeyFile == "") {
		c.add("tls", t.CertificateFile+","+t.KeyFile, "certificate_file and key_file together, or neither")
	}
	if t.AuthorityFile != "" && !t.Enabled() {
		c.add("tls.authority_file", t.AuthorityFile, "empty without certificate_file and key_file")
	}
}

// memoryPerBody is the memory of an instance as a multiple of the largest body: an eighth of it holds bodies,
// and one of unknown length takes one and a half times its size while it is read.
const memoryPerBody = 12

func (c *checker) limits(l Limits) {
	c.between("limits.header_bytes", int64(l.HeaderBytes), 1<<10, 1<<20)
	c.between("limits.body_bytes", l.BodyBytes, 1<<10, 64<<20)
	c.between("limits.answer_bytes", l.AnswerBytes, 1<<10, 256<<20)
	c.between("limits.body_timeout_ms", l.BodyTimeoutMS, 100, 600_000)
	c.between("limits.write_timeout_ms", l.WriteTimeoutMS, 100, 600_000)
	c.between("limits.connections", int64(l.Connections), 1, 100_000)
	c.between("limits.memory_mb", int64(l.MemoryMB), max(64, memoryPerBody*l.BodyBytes>>20), 1<<20)
}

func (c *checker) between(field string, value, low, high int64) {
	if value < low || value > high {
		c.add(field, value, fmt.Sprintf("%d to %d", low, high))
	}
}

func (c *checker) oneOf(field, value string, allowed ...string) {
	for _, a := range allowed {
		if value == a {
			return
		}
	}
	c.add(field, value, strings.Join(allowed, ", "))
}
