package membership

import (
	"math"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Member describes one incarnation of an entry instance.
type Member struct {
	Instance string `cbor:"1,keyasint"`
	// Incarnation grows with every start of the instance's process.
	Incarnation   uint64 `cbor:"2,keyasint"`
	Region        string `cbor:"3,keyasint"`
	FailureDomain string `cbor:"4,keyasint"`
	// PeerAddress is HOST:PORT of the listener for other entry instances.
	PeerAddress string `cbor:"5,keyasint"`
	// CallerAddress is HOST:PORT of the listener for callers.
	CallerAddress string `cbor:"6,keyasint"`
	// MemoryMB is the memory limit of the process, 0 if unknown.
	MemoryMB int `cbor:"7,keyasint,omitempty"`
}

// Leaving is an incarnation of an entry instance or a backend server that will stop.
type Leaving struct {
	Instance    string
	Incarnation uint64
	// Deadline is the latest time at which it stops, on this instance's clock.
	Deadline time.Time
}

// Config is the highest known configuration version and where to fetch it.
type Config struct {
	Version uint64 `cbor:"1,keyasint"`
	// ManifestHash identifies the manifest of the version.
	ManifestHash string `cbor:"2,keyasint,omitempty"`
	// Address is the peer address of an entry instance that has it active.
	Address string `cbor:"3,keyasint,omitempty"`
}

// Message is a gossip message between two entry instances. Times are encoded as ages and
// remaining times, so that clocks need not be synchronized.
type Message struct {
	From Member `cbor:"1,keyasint"`
	// Count is the sender's count of seconds since its start.
	Count uint32 `cbor:"2,keyasint"`
	// Reply marks the answer to a message; it is not answered again.
	Reply bool `cbor:"3,keyasint,omitempty"`
	// Push marks a message that carries only leaving instances and limits.
	Push     bool `cbor:"4,keyasint,omitempty"`
	Draining bool `cbor:"5,keyasint,omitempty"`
	// Config has only the version for a peer that has this version or a higher one.
	Config Config `cbor:"6,keyasint"`
	// LeavingDigest is the exclusive or of the incarnation hashes in the sender's leaving set.
	LeavingDigest uint64          `cbor:"7,keyasint"`
	Leaving       []LeavingRecord `cbor:"8,keyasint,omitempty"`
	Members       []Member        `cbor:"9,keyasint,omitempty"`
	Heartbeats    []Heartbeat     `cbor:"10,keyasint,omitempty"`
	UsageRecords  []UsageRecord   `cbor:"11,keyasint,omitempty"`
	// RecordAges lists the usage records that the sender has; the reply contains newer ones.
	RecordAges []RecordAge `cbor:"13,keyasint,omitempty"`
	// Repair requests the leaving instances that are not in KnownLeaving.
	Repair       bool     `cbor:"14,keyasint,omitempty"`
	KnownLeaving []uint32 `cbor:"15,keyasint,omitempty"`
	// Limits are the rate limits announced by backend servers.
	Limits []LimitRecord `cbor:"16,keyasint,omitempty"`
	// WantMembers requests members, because the sender has received ids of unknown ones.
	WantMembers bool `cbor:"12,keyasint,omitempty"`
}

// LeavingRecord is a Leaving on the wire.
type LeavingRecord struct {
	_           struct{} `cbor:",toarray"`
	Instance    string
	Incarnation uint64
	// RemainingMS is the time to the deadline in milliseconds, negative after it.
	RemainingMS int64
}

// Heartbeat is the heartbeat count of an incarnation.
type Heartbeat struct {
	_ struct{} `cbor:",toarray"`
	// ID is the hash of the incarnation.
	ID       uint32
	Count    uint32
	Draining bool
}

// RecordAge is the key and the age of a usage record.
type RecordAge struct {
	_   struct{} `cbor:",toarray"`
	Key uint32
	// Age is in tenths of a second.
	Age uint32
}

// Levels of a UsageRecord.
const (
	// OriginLevel is the usage of one entry instance, replicated within its cell.
	OriginLevel uint8 = iota
	// CellLevel is the sum over a cell, replicated within its failure domain.
	CellLevel
	// DomainLevel is the sum over a failure domain, replicated everywhere.
	DomainLevel
	// RosterLevel lists the live members of a failure domain, replicated everywhere.
	RosterLevel
)

// UsageRecord is a usage record: one part of the usage of an entry instance, a cell or a failure domain.
type UsageRecord struct {
	_     struct{} `cbor:",toarray"`
	Level uint8
	// Domain is the hash of the failure domain.
	Domain uint32
	// Cells is the number of cells in the failure domain, Cell the index of this one.
	Cells, Cell uint16
	// Speaker is the hash of the incarnation that created this record, Sequence increases with
	// each.
	Speaker, Sequence uint32
	// AgeMS is the time since the record was created, in milliseconds.
	AgeMS uint32
	// Parts is the number of records into which the usage is split, Part the index of this one.
	Parts, Part uint16
	Backends    []BackendSum
	Accounts    []AccountSum
	// Live and Draining are hashes of members, at RosterLevel only.
	Live, Draining []uint32
}

// BackendSum is a BackendUsage on the wire.
type BackendSum struct {
	_ struct{} `cbor:",toarray"`
	// ID is the hash of the backend server's id.
	ID                      uint32
	InFlight, PrefillTokens uint32
}

// AccountSum is an AccountUsage on the wire.
type AccountSum struct {
	_ struct{} `cbor:",toarray"`
	// ID is the hash of the client account.
	ID uint32
	// DeciRequests is in tenths of a request per second, Tokens in tokens per second.
	DeciRequests, Tokens, InFlight uint32
}

// Sizes in bytes of the fixed parts of encoded messages and records.
const (
	messageBytes = 48
	memberBytes  = 24
	beatBytes    = 11
	useBytes     = 30
	haveBytes    = 8
)

// intBytes returns the encoded size of an integer.
func intBytes(v uint32) int {
	switch {
	case v < 24:
		return 1
	case v <= math.MaxUint8:
		return 2
	case v <= math.MaxUint16:
		return 3
	}
	return 5
}

func (m Member) size() int {
	return memberBytes + len(m.Instance) + len(m.Region) + len(m.FailureDomain) + len(m.PeerAddress) + len(m.CallerAddress)
}

func (c Config) size() int { return 12 + len(c.ManifestHash) + len(c.Address) }

func (r LeavingRecord) size() int { return 20 + len(r.Instance) }

func (u *UsageRecord) size() int {
	size := useBytes + 5*(len(u.Live)+len(u.Draining))
	for _, b := range u.Backends {
		size += 1 + intBytes(b.ID) + intBytes(b.InFlight) + intBytes(b.PrefillTokens)
	}
	for _, a := range u.Accounts {
		size += 1 + intBytes(a.ID) + intBytes(a.DeciRequests) + intBytes(a.Tokens) + intBytes(a.InFlight)
	}
	return size
}

// incarnationHash returns the hash that identifies one incarnation of an instance.
func incarnationHash(instance string, incarnation uint64) uint64 {
	return xxhash.Sum64String(instance + "/" + strconv.FormatUint(incarnation, 10))
}

func (m Member) id() uint32 { return uint32(incarnationHash(m.Instance, m.Incarnation)) }

// nameHash returns the hash that identifies a backend server, client account or failure domain.
func nameHash(name string) uint32 { return uint32(xxhash.Sum64String(name)) }
