package action

import "time"

// QueryKind is the type of a query between entry instances.
type QueryKind uint8

// Kinds of query.
const (
	// WriteQuery requests the usual writer of a page to write a claim or an outcome.
	WriteQuery QueryKind = iota + 1
	// AnswerQuery requests the outcome of a claim from its holder.
	AnswerQuery
	// KnownQuery requests whether an entry instance has claimed a key.
	KnownQuery
)

// Query is a message from one entry instance to another that expects a Reply.
type Query struct {
	Kind QueryKind `cbor:"1,keyasint"`
	// To is the destination process. Another incarnation replies Replaced.
	To   Member   `cbor:"2,keyasint"`
	Page PageName `cbor:"3,keyasint"`
	// Record is the record to write; for other kinds it names hash and nonce.
	Record Record `cbor:"4,keyasint"`
	// Replaces is a claim whose holder stated that it never runs.
	Replaces ClaimID `cbor:"5,keyasint"`
	// WaitMS is how long the sender waits, in milliseconds.
	WaitMS int64 `cbor:"6,keyasint"`
}

// ReplyState is the result of a query.
type ReplyState uint8

// States of a reply.
const (
	// Stands means that the reply contains the record in the page after a write.
	Stands ReplyState = iota + 1
	// Unwritten means that the writer could not complete the write in time.
	Unwritten
	// Full means that the page can take no more claims.
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

// Order is what the Table wants done. Every order that calls out is answered by one event.
type Order interface{ order() }

// Swap writes a page if its revision is IfRevision; answered by Table.SwapDone.
type Swap struct {
	Page       PageName
	Sequence   uint64
	Value      []byte
	IfRevision uint64
}

// Read reads a page; answered by Table.ReadDone.
type Read struct {
	Page PageName
	// Claim is the nonce of the waiting claim.
	Claim uint64
}

// Seal replaces an expired page, if it exists, by one that takes no claims. Its result
// doesn't matter.
type Seal struct{ Page PageName }

// Delete removes a sealed page. Its result doesn't matter.
type Delete struct{ Page PageName }

// Call sends a query to a peer; answered by Table.CallDone.
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

// Resolve ends a claim. Without Answer and Err its caller now holds it.
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

// StoreState tells how a call to the store ended.
type StoreState uint8

// Ends of a call to the store.
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

// StoreResult is the store's answer. Value and Revision are the page's present ones
// after a read or a conflict; Revision is the new one after a swap.
type StoreResult struct {
	State    StoreState
	Value    []byte
	Revision uint64
}
