// Package publication puts service files into force: it publishes them as numbered
// versions through the platform's key-value service, keeps the audit trail, and brings
// the highest version to every entry instance.
//
// A version is a chain of three values. The head names the manifest by its hash, the
// manifest names the chunks of every service file, and chunks are named by the SHA-256
// of their content. Chunks and manifest are written first; one compare-and-swap of the
// head decides. The record of version N in the audit trail is the head itself: the
// publisher of N+1 copies it to the trail before it swaps the head, so that the trail
// and the head together hold exactly the accepted versions, whatever answers are lost.
//
// Adoption never goes back: a Table takes higher versions only, from the store or
// from peers, and checks every hash and every file before a version comes into force.
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
// Lock order: Publisher.mu and Keeper.mu are never held together, nor during I/O.
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

// Hash is the SHA-256 of a content in lower-case hexadecimal.
type Hash string

// HashOf returns the hash of data.
func HashOf(data []byte) Hash {
	sum := sha256.Sum256(data)
	return Hash(hex.EncodeToString(sum[:]))
}

func auditKey(version uint64) string { return fmt.Sprintf("%s%020d", AuditPrefix, version) }

// ID names one attempt to publish. It carries the version that the attempt asks for,
// so that anyone can tell later whether that version came from it.
type ID string

// NewID returns an id for a publication that is to become the given version.
func NewID(version uint64) ID {
	return ID(strconv.FormatUint(version, 10) + "-" + uuid.Must(uuid.NewV7()).String())
}

// Version returns the version that the publication asks for.
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
	// Publication is the id of the attempt that made the version.
	Publication ID        `json:"publication"`
	Operator    string    `json:"operator"`
	Time        time.Time `json:"time"`
	BaseVersion uint64    `json:"base_version"`
	Note        string    `json:"note,omitempty"`
	Changes     []Change  `json:"changes"`
	// Previous is the hash of the head of the base version; empty for the first one.
	Previous Hash `json:"previous,omitempty"`
	// RollbackOf is the version whose files this one puts into force again.
	RollbackOf uint64 `json:"rollback_of,omitempty"`
}

// Encode returns the bytes of the head as they stand in the store.
func (h Head) Encode() []byte {
	data, err := json.Marshal(h)
	if err != nil {
		panic(err) // a head holds nothing that JSON can't
	}
	return data
}

// DecodeHead reads a head.
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

// ChangeKind tells what happened to a service.
type ChangeKind string

// Kinds of change.
const (
	Added   ChangeKind = "added"
	Changed ChangeKind = "changed"
	Removed ChangeKind = "removed"
)

// Change is what a version did to one service.
type Change struct {
	Service string     `json:"service"`
	Kind    ChangeKind `json:"kind"`
}
