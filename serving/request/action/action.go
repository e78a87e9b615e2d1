// Package action implements idempotency keys for non-idempotent requests: a request with a
// key runs at most once across all entry instances, and its repeats receive the answer of the
// first run.
//
// A key is a UUIDv7. Its timestamp determines the time bucket of its record, so exactly one
// page of the key-value store holds the record, and a key older than the retry window is
// rejected instead of being run as new. A claim on a key is a compare-and-swap of its page; one swap
// contains the claims and outcomes of many keys. Entry instances forward their claims to the
// page's preferred writer, chosen by rendezvous hashing, and write the page themselves if it
// is unreachable: correctness depends on the compare-and-swap alone, and the preferred writer
// only reduces the number of store calls. A granted claim is never reassigned. Only its holder, in the same
// incarnation, can state that the request did not run.
//
// Table is the state machine and does no I/O. Its methods return orders, which Keeper
// executes. The Keeper's mutex is the only lock. It is held during calls of the table and
// never during I/O.
//
// # Usage
//
//	keeper := action.New(store, peers, self, live, action.DefaultSettings(), rng, log)
//	group.Go(func() error { return keeper.Run(ctx) })
//
//	ticket, err := keeper.Claim(ctx, action.Claim{...}) // err is a *problem.Error
//	if ticket.Answer != nil {
//		// a repeat: return the recorded answer
//	}
//	if err := ticket.BeforeSend(); err != nil {
//		// the claim already has an outcome: don't send
//	}
//	// send, then exactly one of
//	ticket.Finish(action.Done, &answer)
//	ticket.Finish(action.Unknown, nil)
//	ticket.NotRun()
package action

import (
	"crypto/sha256"
	"encoding/binary"
	"net/http"
	"time"
)

// Member identifies one process of an entry instance.
type Member struct {
	Instance    string `cbor:"1,keyasint"`
	Incarnation uint64 `cbor:"2,keyasint"`
}

// Self identifies the entry instance that a Keeper runs in.
type Self struct {
	Instance      string
	Incarnation   uint64
	FailureDomain string
}

// Member returns the Member value of this process.
func (s Self) Member() Member { return Member{Instance: s.Instance, Incarnation: s.Incarnation} }

// Fingerprint distinguishes different requests that use the same key.
type Fingerprint uint64

// FingerprintOf returns the fingerprint of a request.
func FingerprintOf(method, path string, body []byte) Fingerprint {
	digest := sha256.New()
	for _, part := range []string{method, path} {
		_, _ = digest.Write(binary.AppendUvarint(nil, uint64(len(part))))
		_, _ = digest.Write([]byte(part))
	}
	_, _ = digest.Write(body)
	return Fingerprint(binary.BigEndian.Uint64(digest.Sum(nil)))
}

// Claim is a request for the exclusive right to run a keyed request.
type Claim struct {
	Service string
	Account string
	// Key is the text of a UUIDv7.
	Key         string
	Fingerprint Fingerprint
	// Window is the service's retry window, limited to Settings.Retention.
	Window time.Duration
}

// Outcome is the recorded state of a claim.
type Outcome uint8

// Outcomes.
const (
	// Claimed means that the holder may be sending the request.
	Claimed Outcome = iota
	// Done means that the request ran and was answered.
	Done
	// Unknown means that the request may have run and its answer is lost.
	Unknown
	// NotRun means that the request was not run under this claim and never will be.
	NotRun
)

// Answer is a backend server's response.
type Answer struct {
	Status int         `cbor:"1,keyasint"`
	Header http.Header `cbor:"2,keyasint,omitempty"`
	Body   []byte      `cbor:"3,keyasint,omitempty"`
}

// size returns the approximate length of the encoded answer in bytes.
func (a *Answer) size() int {
	size := len(a.Body)
	for name, values := range a.Header {
		size += len(name)
		for _, value := range values {
			size += len(value) + 2
		}
	}
	return size
}
