// Package handover defines the messages with which an entry instance hands an unfinished model
// request over to another one: the request with its progress, and the pieces of its answer that are
// forwarded afterwards.
//
// # Usage
//
//	state := handover.State{Service: "farewell-llm", Text: text, Ends: ends}
//	data, err := handover.Encode(state)
//	var received handover.State
//	err = handover.Decode(data, &received)
package handover

import (
	"github.com/cespare/xxhash/v2"
	"github.com/fxamacker/cbor/v2"
	"github.com/pkg/errors"

	"papayaport.dev/serving/connection/engine"
	"papayaport.dev/serving/process/problem"
	"papayaport.dev/serving/request/answer"
)

// State is the progress of a model request.
type State struct {
	Service  string `cbor:"1,keyasint"`
	Account  string `cbor:"2,keyasint"`
	Priority int    `cbor:"3,keyasint"`
	// RemainingMS is the time until the request's deadline, in milliseconds.
	RemainingMS int64 `cbor:"4,keyasint"`
	// Text and Ends are the answer so far; Ends holds the end offset of each token in bytes.
	Text string `cbor:"5,keyasint"`
	Ends []int  `cbor:"6,keyasint"`
	// Fingerprint distinguishes requests with the same id and different bodies.
	Fingerprint uint64 `cbor:"7,keyasint"`
	// Attempts is the number of attempts made so far.
	Attempts int `cbor:"8,keyasint"`
}

// Piece is a sequence of consecutive tokens of an answer. End is set when the answer is complete
// after them.
type Piece struct {
	From   int      `cbor:"1,keyasint"`
	Tokens []string `cbor:"2,keyasint"`
	End    *End     `cbor:"3,keyasint,omitempty"`
}

// End is the end of an answer, either complete or failed.
type End struct {
	Reason  string          `cbor:"1,keyasint"`
	Usage   engine.Usage    `cbor:"2,keyasint"`
	Kind    problem.Kind    `cbor:"3,keyasint,omitempty"`
	Outcome problem.Outcome `cbor:"4,keyasint,omitempty"`
	Detail  string          `cbor:"5,keyasint,omitempty"`
}

// Encode returns the CBOR encoding of a State or Piece.
func Encode(value any) ([]byte, error) {
	data, err := cbor.Marshal(value)
	return data, errors.Wrap(err, "encode")
}

// Decode decodes the CBOR encoding of a State or Piece.
func Decode(data []byte, into any) error {
	return errors.Wrap(cbor.Unmarshal(data, into), "decode")
}

// NewPiece converts a batch of an answer log to its wire form.
func NewPiece(batch answer.Batch) Piece {
	piece := Piece{From: batch.From, Tokens: batch.Tokens}
	if batch.End == nil {
		return piece
	}
	piece.End = &End{Reason: batch.End.Reason, Usage: batch.End.Usage}
	if batch.End.Err != nil {
		failure := problem.From(batch.End.Err)
		piece.End.Kind = failure.Kind
		piece.End.Outcome = failure.Outcome
		piece.End.Detail = failure.Detail
	}
	return piece
}

// Answer converts an end from its wire form.
func (e End) Answer() answer.End {
	end := answer.End{Reason: e.Reason, Usage: e.Usage}
	if e.Kind != "" {
		end.Err = &problem.Error{Kind: e.Kind, Outcome: e.Outcome, Detail: e.Detail}
	}
	return end
}

// Fingerprint returns a hash of a request's body.
func Fingerprint(body []byte) uint64 { return xxhash.Sum64(body) }
