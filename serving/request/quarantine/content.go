package quarantine

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Content is what a request consists of, whatever its id.
type Content struct {
	// Digest identifies the request by its target, caller and body; 0 stands for none.
	Digest uint64
	// Parts are the ids of the parts of the prompt that other requests may share.
	Parts []uint64
}

// ids returns the ids of the parts and the digest.
func (c Content) ids() []uint64 {
	if c.Digest == 0 {
		return c.Parts
	}
	return append(slices.Clip(c.Parts), c.Digest)
}

// Loss is a request whose server closed the connection before its answer was complete.
type Loss struct {
	Request     string
	Server      string
	Incarnation uint64
	// Content is empty if the server had been writing the answer for a while, so that the request is
	// not the cause.
	Content
}

// Answer is a request that a server answered completely.
type Answer struct {
	Server      string
	Incarnation uint64
	Content
	BegunAt time.Time
}

// Cause is the reason for a quarantine.
type Cause string

// Causes of quarantines.
const (
	None    Cause = ""
	Request Cause = "request"
	Part    Cause = "prompt_part"
)

// process returns the hash of the incarnation of the server.
func (l Loss) process() uint64 { return process(l.Server, l.Incarnation) }

func process(server string, incarnation uint64) uint64 {
	return hash(xxhash.Sum64String(server), incarnation)
}

// Report states that a part of a prompt or a request was lost in the crash of a server.
type Report struct {
	// Part is the id of the part, or the digest of the request if IsRequest is set.
	Part uint64 `json:"part" cbor:"1,keyasint"`
	// Server is the hash of the server's incarnation, Request that of the request's id.
	Server  uint64 `json:"server" cbor:"2,keyasint"`
	Request uint64 `json:"request" cbor:"3,keyasint"`
	// AtMS is the time of the crash in Unix milliseconds by the reporting instance's clock.
	AtMS int64 `json:"at_ms" cbor:"4,keyasint"`
	// First is set if the part is the first one of the prompt.
	First     bool `json:"first,omitempty" cbor:"5,keyasint,omitempty"`
	IsRequest bool `json:"is_request,omitempty" cbor:"6,keyasint,omitempty"`
}

// id identifies a part in one crash, whichever instances report it.
func (r Report) id() uint64 { return hash(r.Part, r.Server) }

// Snapshot is a set of reports and of the ids of reports that answers have cleared.
type Snapshot struct {
	Reports []Report `json:"reports,omitempty" cbor:"1,keyasint,omitempty"`
	Cleared []uint64 `json:"cleared,omitempty" cbor:"2,keyasint,omitempty"`
}

// IsEmpty reports whether the snapshot holds nothing.
func (s Snapshot) IsEmpty() bool { return len(s.Reports)+len(s.Cleared) == 0 }

// Change reports that a part or a request was quarantined or released.
type Change struct {
	// Part is the id of the part, or the digest of the request if IsRequest is set.
	Part        uint64
	IsRequest   bool
	Quarantined bool
	// Crashes is the number of crashes that count against the part.
	Crashes int
}
