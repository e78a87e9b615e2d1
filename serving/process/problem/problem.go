// Package problem defines the closed list of error kinds that papayaport returns to callers and
// operators, and the table that maps each kind to its response.
//
// # Usage
//
//	err := problem.New(problem.NoBackend, "service farewell-llm has no live backend server")
//	problem.Write(w, err, requestID)
//
// Within the system, errors are ordinary Go errors. Only the listeners convert them: From returns
// the *Error in a chain, and an error without one is reported as Internal.
package problem

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strconv"
	"time"

	"github.com/pkg/errors"
)

// Kind identifies a class of failure. The list is closed: every kind has a row in Rows.
type Kind string

// Outcome states whether a caller's request ran.
type Outcome string

// Outcomes.
const (
	// NotRun means that no backend server ran the request, and none will.
	NotRun Outcome = "not_run"
	// Unknown means that the request may have run once. It is never sent again.
	Unknown Outcome = "unknown"
	// Failed means that the request ran and its answer is not available.
	Failed Outcome = "failed"
)

// Kinds of errors.
const (
	BadRequest         Kind = "bad_request"
	HeaderTooLarge     Kind = "header_too_large"
	BodyTooLarge       Kind = "body_too_large"
	SlowSender         Kind = "slow_sender"
	Unauthenticated    Kind = "unauthenticated"
	Forbidden          Kind = "forbidden"
	UnknownService     Kind = "unknown_service"
	UnknownRoute       Kind = "unknown_route"
	UnknownRequest     Kind = "unknown_request"
	KeyConflict        Kind = "key_conflict"
	KeyExpired         Kind = "key_expired"
	KeyInvalid         Kind = "key_invalid"
	KeyInProgress      Kind = "key_in_progress"
	AccountLimit       Kind = "account_limit"
	QueueFull          Kind = "queue_full"
	DeadlineInfeasible Kind = "deadline_infeasible"
	DeadlineExceeded   Kind = "deadline_exceeded"
	CallerGone         Kind = "caller_gone"
	NoBackend          Kind = "no_backend"
	HeldBack           Kind = "held_back"
	BackendRefused     Kind = "backend_refused"
	BackendFailed      Kind = "backend_failed"
	BackendNonsense    Kind = "backend_nonsense"
	AnswerLost         Kind = "answer_lost"
	PromptQuarantined  Kind = "prompt_quarantined"
	RequestQuarantined Kind = "request_quarantined"
	StoreUnavailable   Kind = "store_unavailable"
	NotReady           Kind = "not_ready"
	Leaving            Kind = "leaving"
	VersionConflict    Kind = "version_conflict"
	InvalidFile        Kind = "invalid_file"
	NotKnownYet        Kind = "not_known_yet"
	Internal           Kind = "internal"
)

// Row is the response to errors of one kind.
type Row struct {
	Status  int
	Outcome Outcome
	// Retry reports whether the same request may succeed later.
	Retry bool
	// RetryAfter is the wait before a retry when the error sets none.
	RetryAfter time.Duration
	Title      string
}

// Rows maps every kind to its answer.
var Rows = map[Kind]Row{
	BadRequest:         {http.StatusBadRequest, NotRun, false, 0, "The request is malformed"},
	HeaderTooLarge:     {http.StatusRequestHeaderFieldsTooLarge, NotRun, false, 0, "A header is too large"},
	BodyTooLarge:       {http.StatusRequestEntityTooLarge, NotRun, false, 0, "The body is too large"},
	SlowSender:         {http.StatusRequestTimeout, NotRun, true, time.Second, "The body arrived too slowly"},
	Unauthenticated:    {http.StatusUnauthorized, NotRun, false, 0, "The account key is missing or wrong"},
	Forbidden:          {http.StatusForbidden, NotRun, false, 0, "The account may not do this"},
	UnknownService:     {http.StatusNotFound, NotRun, false, 0, "No such service"},
	UnknownRoute:       {http.StatusNotFound, NotRun, false, 0, "The service has no such route"},
	UnknownRequest:     {http.StatusNotFound, Unknown, false, 0, "No such request is held"},
	KeyConflict:        {http.StatusUnprocessableEntity, NotRun, false, 0, "The idempotency key belongs to another request"},
	KeyExpired:         {http.StatusGone, NotRun, false, 0, "The idempotency key is older than the retry window"},
	KeyInvalid:         {http.StatusBadRequest, NotRun, false, 0, "The idempotency key is malformed"},
	KeyInProgress:      {http.StatusConflict, Unknown, true, time.Second, "A request with this idempotency key is in progress"},
	AccountLimit:       {http.StatusTooManyRequests, NotRun, true, time.Second, "The account is over its limit"},
	QueueFull:          {http.StatusServiceUnavailable, NotRun, true, time.Second, "The queue is full"},
	DeadlineInfeasible: {http.StatusServiceUnavailable, NotRun, true, time.Second, "The deadline can't be met"},
	DeadlineExceeded:   {http.StatusGatewayTimeout, Unknown, true, time.Second, "The deadline passed"},
	CallerGone:         {http.StatusBadGateway, Unknown, false, 0, "The caller left before its answer"},
	NoBackend:          {http.StatusServiceUnavailable, NotRun, true, time.Second, "No backend server can take the request"},
	HeldBack:           {http.StatusServiceUnavailable, NotRun, true, time.Second, "All backend servers asked for no request now"},
	BackendRefused:     {http.StatusServiceUnavailable, NotRun, true, time.Second, "The backend server refused the request"},
	BackendFailed:      {http.StatusBadGateway, Failed, true, time.Second, "The backend server failed"},
	BackendNonsense:    {http.StatusBadGateway, Failed, true, time.Second, "The backend server's answer is invalid"},
	AnswerLost:         {http.StatusBadGateway, Unknown, false, 0, "The answer was lost after the request was sent"},
	PromptQuarantined:  {http.StatusServiceUnavailable, NotRun, true, time.Minute, "A part of the prompt crashes backend servers"},
	RequestQuarantined: {http.StatusServiceUnavailable, NotRun, true, time.Minute, "The request crashes backend servers"},
	StoreUnavailable:   {http.StatusServiceUnavailable, NotRun, true, 2 * time.Second, "The key-value service can't be reached"},
	NotReady:           {http.StatusServiceUnavailable, NotRun, true, time.Second, "The instance has no configuration yet"},
	Leaving:            {http.StatusServiceUnavailable, NotRun, true, time.Second, "The instance is leaving"},
	VersionConflict:    {http.StatusConflict, NotRun, false, 0, "Another version was published first"},
	InvalidFile:        {http.StatusUnprocessableEntity, NotRun, false, 0, "A service file is invalid"},
	NotKnownYet:        {http.StatusAccepted, Unknown, true, 2 * time.Second, "Whether the change took effect is not known yet"},
	Internal:           {http.StatusInternalServerError, Unknown, false, 0, "Internal error"},
}

// Error is a failure of one kind with a detailed message.
type Error struct {
	Kind   Kind
	Detail string
	// Outcome replaces the table's outcome when it is not empty.
	Outcome Outcome
	// RetryAfter replaces the table's wait when it is positive.
	RetryAfter time.Duration
}

// New returns an error of the given kind.
func New(kind Kind, format string, args ...any) *Error {
	return &Error{Kind: kind, Detail: fmt.Sprintf(format, args...)}
}

// Error implements error.
func (e *Error) Error() string { return string(e.Kind) + ": " + e.Detail }

// WithRetryAfter sets the wait before a retry and returns e.
func (e *Error) WithRetryAfter(wait time.Duration) *Error {
	e.RetryAfter = wait
	return e
}

// WithOutcome sets the outcome and returns e.
func (e *Error) WithOutcome(outcome Outcome) *Error {
	e.Outcome = outcome
	return e
}

// From returns the *Error in err's chain, or a new one of kind Internal.
func From(err error) *Error {
	var e *Error
	if errors.As(err, &e) {
		return e
	}
	return New(Internal, "%v", err)
}

// Document is the JSON form of an error (RFC 9457).
type Document struct {
	Type      string  `json:"type"`
	Title     string  `json:"title"`
	Status    int     `json:"status"`
	Kind      Kind    `json:"kind"`
	Outcome   Outcome `json:"outcome"`
	Detail    string  `json:"detail,omitempty"`
	RequestID string  `json:"request_id,omitempty"`
	// RetryAfterMS is the wait before a retry in milliseconds, 0 when a retry does not help.
	RetryAfterMS int64 `json:"retry_after_ms,omitempty"`
}

// MediaType is the media type of a Document.
const MediaType = "application/problem+json"

// Document returns the JSON form of e for a request.
func (e *Error) Document(requestID string) Document {
	row := Rows[e.Kind]
	doc := Document{
		Type:      "urn:papayaport:problem:" + string(e.Kind),
		Title:     row.Title,
		Status:    row.Status,
		Kind:      e.Kind,
		Outcome:   row.Outcome,
		Detail:    e.Detail,
		RequestID: requestID,
	}
	if e.Outcome != "" {
		doc.Outcome = e.Outcome
	}
	if row.Retry {
		doc.RetryAfterMS = e.wait(row).Milliseconds()
	}
	return doc
}

func (e *Error) wait(row Row) time.Duration {
	if e.RetryAfter > 0 {
		return e.RetryAfter
	}
	return row.RetryAfter
}

// Write responds to a request with err as a problem document.
func Write(w http.ResponseWriter, err error, requestID string) {
	doc := From(err).Document(requestID)
	h := w.Header()
	h.Set("Content-Type", MediaType)
	if doc.RetryAfterMS > 0 {
		h.Set("Retry-After", strconv.FormatInt((doc.RetryAfterMS+999)/1000, 10))
	}
	w.WriteHeader(doc.Status)
	_ = json.NewEncoder(w).Encode(doc)
}
