package action

import "time"

// Record is the entry of one key in a page.
type Record struct {
	Hash        Hash        `cbor:"1,keyasint"`
	Owner       Member      `cbor:"2,keyasint"`
	Nonce       uint64      `cbor:"3,keyasint"`
	Fingerprint Fingerprint `cbor:"4,keyasint"`
	Outcome     Outcome     `cbor:"5,keyasint,omitempty"`
	// Status is the HTTP status of the answer of a Done record.
	Status int `cbor:"6,keyasint,omitempty"`
	// Answer is nil if it is too large to be stored in the page.
	Answer *Answer `cbor:"7,keyasint,omitempty"`
}

// ClaimID identifies a claim on a key. The zero value identifies none.
type ClaimID struct {
	Owner Member `cbor:"1,keyasint"`
	Nonce uint64 `cbor:"2,keyasint"`
}

func (r Record) id() ClaimID { return ClaimID{Owner: r.Owner, Nonce: r.Nonce} }

// sameClaim reports whether two records belong to the same claim.
func (r Record) sameClaim(other Record) bool { return r.Hash == other.Hash && r.id() == other.id() }

// records are the records of one page.
type records map[Hash]Record

// change is a claim or an outcome that is to be written into a page.
type change struct {
	record Record
	// replaces is the claim that record replaces, because its request never runs.
	replaces ClaimID
	// query is the ID of the peer's query that requested the change, 0 for a change of this
	// process.
	query uint64
	// due is the time from which a swap is made for this change. An earlier swap of the page
	// includes it.
	due time.Time
	// sent is set if a swap with this change may have taken effect.
	sent bool
}

func (c *change) isClaim() bool { return c.record.Outcome == Claimed }

// applyResult is the result of applying a change to a page's records.
type applyResult uint8

const (
	// unchanged means that the records need no change.
	unchanged applyResult = iota
	// applied means that the records were changed.
	applied
	// missing means that the page has no record of the claim whose outcome is to be written.
	missing
)

// apply applies c to the records in place.
func (r records) apply(c *change) applyResult {
	current, found := r[c.record.Hash]
	if c.isClaim() {
		return r.applyClaim(c, current, found)
	}
	switch {
	case !found || !current.sameClaim(c.record):
		return missing
	case current.Outcome != Claimed:
		return unchanged
	}
	r[c.record.Hash] = c.record
	return applied
}

func (r records) applyClaim(c *change, current Record, found bool) applyResult {
	if found && !replaceable(c, current) {
		return unchanged
	}
	r[c.record.Hash] = c.record
	return applied
}

// replaceable reports whether the claim c may replace the current record.
func replaceable(c *change, current Record) bool {
	if current.sameClaim(c.record) || current.Fingerprint != c.record.Fingerprint {
		return false
	}
	return current.Outcome == NotRun || current.Outcome == Claimed && c.replaces == current.id()
}

// stripAnswers removes the answers that the given changes added.
func (r records) stripAnswers(changes []*change) {
	for _, c := range changes {
		record, found := r[c.record.Hash]
		if found && record.sameClaim(c.record) {
			record.Answer = nil
			r[c.record.Hash] = record
		}
	}
}
