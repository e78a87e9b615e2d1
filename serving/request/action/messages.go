package action

import "time"

// QueryKind is the type of a query between entry instances.
type QueryKind uint8

// Kinds of query.
const (
	// WriteQuery requests that the receiver, the preferred writer of a page, write a claim or an
	// outcome.
	WriteQuery QueryKind = iota + 1
	// AnswerQuery requests the outcome of a claim from its holder.
	AnswerQuery
	// ClaimQuery requests the receiver's claim on a key, if it has one.
	ClaimQuery
)

// Query is a message from one entry instance to another that expects a Reply.
type Query struct {
	Kind QueryKind `cbor:"1,keyasint"`
	// To is the destination process. Another incarnation replies Replaced.
	To   Member   `cbor:"2,keyasint"`
	Page PageName `cbor:"3,keyasint"`
	// Record is the record to write. In other kinds of query, it only identifies the claim or
	// the key.
	Record Record `cbor:"4,keyasint"`
	// Replaces is the claim that Record replaces, because its request never runs.
	Replaces ClaimID `cbor:"5,keyasint"`
	// WaitMS is how long the sender waits, in milliseconds.
	WaitMS int64 `cbor:"6,keyasint"`
}

// ReplyState is the result of a query.
type ReplyState uint8

// States of a reply.
const (
	// Written means that the reply contains the record in the page after a write.
	Written ReplyState = iota + 1
	// Unwritten means that the writer could not complete the write in time.
	Unwritten
	// Full means that the page has no room for more claims.
	Full
	// Sealed means that all keys of the page have expired.
	Sealed
	// Finished means that the reply contains the outcome of a claim.
	Finished
	// InProgress means that the claim has no outcome yet.
	InProgress
	// NeverRuns means that the claim, unless its page holds an outcome, was never sent and never will be.
	NeverRuns
	// NoClaim means that this process never claimed the key.
	NoClaim
	// Replaced means that the query was for another incarnation, which has ended.
	Replaced
)

// Reply answers a Query.
type Reply struct {
	State  ReplyState `cbor:"1,keyasint"`
	Record Record     `cbor:"2,keyasint"`
}

// Order is an action that a Table requests from its caller. The result of each Swap, Read
// and Call order is passed back to the table as one event.
type Order interface{ order() }

// Swap writes a page if its revision is IfRevision. The result is passed to Table.SwapDone.
type Swap struct {
	Page       PageName
	Sequence   uint64
	Value      []byte
	IfRevision uint64
}

// Read reads a page. The result is passed to Table.ReadDone.
type Read struct {
	Page PageName
	// Claim is the nonce of the waiting claim.
	Claim uint64
}

// Seal replaces an expired page, if it exists, with one that accepts no claims. Its result is
// ignored.
type Seal struct{ Page PageName }

// Delete deletes a sealed page. Its result is ignored.
type Delete struct{ Page PageName }

// Call sends a query to a peer. The reply is passed to Table.CallDone.
type Call struct {
	ID      uint64
	To      Member
	Query   Query
	Timeout time.Duration
}

// Respond answers a peer's query.
type Respond struct {
	Query uint64
	Reply Reply
}

// Resolve completes a claim. If neither Answer nor Err is set, the claim is granted.
type Resolve struct {
	Claim  uint64
	Answer *Answer
	Err    error
}

func (Swap) order()    {}
func (Read) order()    {}
func (Seal) order()    {}
func (Delete) order()  {}
func (Call) order()    {}
func (Respond) order() {}
func (Resolve) order() {}

// StoreState is the result of a call to the store.
type StoreState uint8

// Results of a call to the store.
const (
	// StoreOK means that the call was carried out.
	StoreOK StoreState = iota
	// StoreConflict means that the page has another revision.
	StoreConflict
	// StoreUnknown means that a write may have taken effect, now or later.
	StoreUnknown
	// StoreUnavailable means that the call was not carried out.
	StoreUnavailable
)

// StoreResult is the result of a call to the store. After a read or a conflict, Value and
// Revision are those of the stored page. After a swap, Revision is the new revision.
type StoreResult struct {
	State    StoreState
	Value    []byte
	Revision uint64
}
