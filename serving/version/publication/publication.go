// Package publication publishes service files as numbered versions through the platform's
// key-value service, keeps the audit trail, and distributes the highest version to every entry
// instance.
//
// A version consists of three kinds of values. The head names the manifest by its hash, the
// manifest lists the chunks of every service file, and each chunk is stored under the SHA-256
// of its content. Chunks and manifest are written first; a single compare-and-swap of the head
// then commits the version. The audit record of version N is the head itself: the publisher of
// N+1 copies it to the trail before it swaps the head. The trail and the head together
// therefore hold exactly the accepted versions, whatever replies are lost.
//
// Versions are monotonic: a Table adopts higher versions only, from the store or from peers,
// and verifies every hash and every file before a version comes into force.
//
// # Usage
//
//	publisher := publication.NewPublisher(store, keeper, log)
//	result, err := publisher.Publish(ctx, publication.Request{ID: publication.NewID(8), Files: files})
//
//	keeper := publication.NewKeeper(store, peers, watching, log)
//	go keeper.Run(ctx)
//	version := keeper.Current() // nil until a version is in force
//
// # Locks
//
// Publisher.mu and Keeper.mu are never held together, nor during I/O.
package publication

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"strconv"
	"strings"
	"time"

	"github.com/google/uuid"
	"github.com/pkg/errors"
)

// Keys in the key-value service.
const (
	HeadKey        = "config/head"
	ChunkPrefix    = "config/chunks/"
	ManifestPrefix = "config/manifests/"
	AuditPrefix    = "config/audit/"
)

// Hash is a SHA-256 hash in lower-case hexadecimal.
type Hash string

// HashOf returns the hash of data.
func HashOf(data []byte) Hash {
	sum := sha256.Sum256(data)
	return Hash(hex.EncodeToString(sum[:]))
}

func auditKey(version uint64) string { return fmt.Sprintf("%s%020d", AuditPrefix, version) }

// ID identifies one attempt to publish. It contains the requested version, so that it can be
// determined later whether that version came from this attempt.
type ID string

// NewID returns an id for a publication of the given version.
func NewID(version uint64) ID {
	return ID(strconv.FormatUint(version, 10) + "-" + uuid.Must(uuid.NewV7()).String())
}

// Version returns the version that the publication requests.
func (id ID) Version() (uint64, error) {
	number, unique, ok := strings.Cut(string(id), "-")
	version, err := strconv.ParseUint(number, 10, 64)
	if !ok || err != nil || version == 0 {
		return 0, errors.Errorf("publication id %q does not begin with the number of a version", id)
	}
	if _, err := uuid.Parse(unique); err != nil {
		return 0, errors.Errorf("publication id %q does not end with a UUID", id)
	}
	return version, nil
}

// Head is one accepted version, and its record in the audit trail.
type Head struct {
	Version  uint64 `json:"version"`
	Manifest Hash   `json:"manifest"`
	// Publication is the id of the attempt that published the version.
	Publication ID        `json:"publication"`
	Operator    string    `json:"operator"`
	Time        time.Time `json:"time"`
	BaseVersion uint64    `json:"base_version"`
	Note        string    `json:"note,omitempty"`
	Changes     []Change  `json:"changes"`
	// Previous is the hash of the head of the base version; empty for the first one.
	Previous Hash `json:"previous,omitempty"`
	// RollbackOf is the version whose files this one restores, 0 for none.
	RollbackOf uint64 `json:"rollback_of,omitempty"`
}

// Encode returns the head as it is stored.
func (h Head) Encode() []byte {
	data, err := json.Marshal(h)
	if err != nil {
		panic(err) // every field of a head can be encoded
	}
	return data
}

// DecodeHead decodes a head.
func DecodeHead(data []byte) (Head, error) {
	var head Head
	err := json.Unmarshal(data, &head)
	if err != nil {
		return Head{}, errors.Wrap(err, "reading head")
	}
	if head.Version == 0 || head.Manifest == "" {
		return Head{}, errors.New("reading head: no version or manifest")
	}
	return head, nil
}

// ChangeKind is the kind of a change to a service.
type ChangeKind string

// Kinds of change.
const (
	Added   ChangeKind = "added"
	Changed ChangeKind = "changed"
	Removed ChangeKind = "removed"
)

// Change is a version's change to one service.
type Change struct {
	Service string     `json:"service"`
	Kind    ChangeKind `json:"kind"`
}
