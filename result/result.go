// Package result defines the numbered result codes that callers see and the
// error type that carries them. A test keeps docs/RESULT-CODES.md consistent
// with Table.
package result

import (
	"fmt"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"
)

// Code is a stable result number. Numbers are never reused for another meaning.
type Code uint32

// Codes from 1000 are errors of the caller, from 2000 refusals of requests that did
// not run, from 3000 failures of requests that may have run, and from 4000 errors of
// configuration changes.
const (
	OK                 Code = 0
	BadRequest         Code = 1001
	BodyTooLarge       Code = 1002
	UnknownKey         Code = 1003
	UnknownModel       Code = 1004
	UnknownKind        Code = 1005
	UnknownService     Code = 1006
	NotFound           Code = 1007
	KeyRequired        Code = 1008
	KeyReused          Code = 1009
	BodyTooSlow        Code = 1010
	HeaderTooLarge     Code = 1011
	Overloaded         Code = 2001
	CannotFinishInTime Code = 2002
	ShareExceeded      Code = 2003
	TooLongForFleet    Code = 2004
	NoBackend          Code = 2005
	NoConfiguration    Code = 2006
	Draining           Code = 2007
	ClaimUnavailable   Code = 2008
	ClaimRunning       Code = 2009
	DeadlineNotRun     Code = 2010
	RingFull           Code = 2011
	Quarantined        Code = 2012
	Unconfirmed        Code = 2013
	ServersLimited     Code = 2014
	PartQuarantined    Code = 2015
	NoRoom             Code = 2016
	DeadlinePassed     Code = 3001
	BackendFailed      Code = 3002
	OutcomeUnknown     Code = 3003
	AnswerGone         Code = 3004
	CallerGone         Code = 3005
	InvalidAnswer      Code = 3006
	Internal           Code = 3999
	ConfigConflict     Code = 4001
	ConfigInvalid      Code = 4002
	StoreUnavailable   Code = 4003
)

// Entry describes one code for callers and for the documentation.
type Entry struct {
	Code    Code
	Name    string
	Status  int
	NotRun  bool
	Meaning string
}

// Table lists every code in ascending order.
var Table = []Entry{
	{OK, "ok", http.StatusOK, false, "The answer is complete."},
	{BadRequest, "bad_request", http.StatusBadRequest, true, "The request is malformed; the message names the field."},
	{BodyTooLarge, "body_too_large", http.StatusRequestEntityTooLarge, true, "The body exceeds the limit of this instance."},
	{UnknownKey, "unknown_key", http.StatusUnauthorized, true, "The bearer key is missing or belongs to no customer."},
	{UnknownModel, "unknown_model", http.StatusNotFound, true, "No service of the manifest has this name."},
	{UnknownKind, "unknown_kind", http.StatusBadRequest, true, "The manifest declares no such kind of request."},
	{UnknownService, "unknown_service", http.StatusNotFound, true, "No plain service of the manifest has this name."},
	{NotFound, "not_found", http.StatusNotFound, true, "No such path or method."},
	{KeyRequired, "idempotency_key_required", http.StatusBadRequest, true, "This kind may not be repeated, so the request must carry an Idempotency-Key."},
	{KeyReused, "idempotency_key_reused", http.StatusUnprocessableEntity, true, "The Idempotency-Key was used before with another request."},
	{BodyTooSlow, "body_too_slow", http.StatusRequestTimeout, true, "The body did not arrive within the read timeout."},
	{HeaderTooLarge, "header_too_large", http.StatusRequestHeaderFieldsTooLarge, true, "The headers exceed the limit of this instance."},
	{Overloaded, "overloaded", http.StatusTooManyRequests, true, "The queues of the candidate engines are full."},
	{CannotFinishInTime, "cannot_finish_in_time", http.StatusTooManyRequests, true, "The predicted completion lies beyond the request's time limit."},
	{ShareExceeded, "share_exceeded", http.StatusTooManyRequests, true, "The customer already holds its share, or has used more than its share, while others wait."},
	{TooLongForFleet, "too_long_for_fleet", http.StatusRequestEntityTooLarge, true, "No engine, and no set of engines, has enough memory for the prompt."},
	{NoBackend, "no_backend", http.StatusServiceUnavailable, true, "No backend server of this service is ready."},
	{NoConfiguration, "no_configuration", http.StatusServiceUnavailable, true, "The instance has not received a configuration yet."},
	{Draining, "draining", http.StatusServiceUnavailable, true, "The instance is shutting down; use another address."},
	{ClaimUnavailable, "claim_unavailable", http.StatusServiceUnavailable, true, "The key could not be claimed durably; nothing ran for this call."},
	{ClaimRunning, "claim_running", http.StatusConflict, true, "The same key is running already; this call ran nothing, ask again for its answer."},
	{DeadlineNotRun, "deadline_not_run", http.StatusGatewayTimeout, true, "The time limit passed before the request was handed to a backend server."},
	{RingFull, "ring_full", http.StatusServiceUnavailable, true, "An internal queue is full."},
	{Quarantined, "quarantined", http.StatusServiceUnavailable, true, "Servers that ran this request crashed, one after the other; it is not run again for a while."},
	{Unconfirmed, "unconfirmed", http.StatusServiceUnavailable, true, "The instance knows of no such route, key or limit, and cannot know whether its configuration is still in force."},
	{ServersLimited, "servers_limited", http.StatusServiceUnavailable, true, "The servers of the service limit the requests that they take, and those let in fill them for the time of this one."},
	{PartQuarantined, "part_quarantined", http.StatusServiceUnavailable, true, "Servers that began to answer prompts with one part of this prompt crashed; requests with it are not run for a while."},
	{NoRoom, "no_room", http.StatusServiceUnavailable, true, "The bodies of other requests take all memory that there is for them."},
	{DeadlinePassed, "deadline_passed", http.StatusGatewayTimeout, false, "The time limit passed while the request was at a backend server."},
	{BackendFailed, "backend_failed", http.StatusBadGateway, false, "The backend server failed and no retry was possible in time."},
	{OutcomeUnknown, "outcome_unknown", http.StatusBadGateway, false, "The request may have run; it will not be run again under this key."},
	{AnswerGone, "answer_gone", http.StatusGone, false, "The request ran before; its answer is no longer kept."},
	{CallerGone, "caller_gone", 499, false, "The caller closed the connection."},
	{InvalidAnswer, "invalid_answer", http.StatusBadGateway, false, "What the backend server sent is no HTTP answer, and no retry was possible in time."},
	{Internal, "internal", http.StatusInternalServerError, false, "A defect in auburnmoor; the message carries the request id."},
	{ConfigConflict, "config_conflict", http.StatusConflict, true, "Another change was accepted first; the message names the version in force."},
	{ConfigInvalid, "config_invalid", http.StatusUnprocessableEntity, true, "The manifest does not pass its checks."},
	{StoreUnavailable, "store_unavailable", http.StatusServiceUnavailable, false, "The platform's object API did not answer; whether a write took effect is unknown."},
}

var byCode = func() map[Code]Entry {
	m := make(map[Code]Entry, len(Table))
	for _, e := range Table {
		m[e.Code] = e
	}
	return m
}()

// Lookup returns the table entry of c, or that of Internal for an unknown code.
func Lookup(c Code) Entry {
	if e, ok := byCode[c]; ok {
		return e
	}
	return byCode[Internal]
}

// String returns the stable name of the code.
func (c Code) String() string { return Lookup(c).Name }

// Error is a failure with a code. NotRun promises the caller that the request did not
// run and will not run later.
type Error struct {
	Code       Code
	Message    string
	NotRun     bool
	RetryAfter time.Duration
}

// Error implements error.
func (e *Error) Error() string {
	return fmt.Sprintf("%s (%d): %s", e.Code, uint32(e.Code), e.Message)
}

// New returns an error whose NotRun flag is the default of its code.
func New(c Code, format string, args ...any) *Error {
	return &Error{Code: c, Message: fmt.Sprintf(format, args...), NotRun: Lookup(c).NotRun}
}

// WithRetryAfter returns a copy of e that tells the caller when to retry.
func (e *Error) WithRetryAfter(d time.Duration) *Error {
	out := *e
	out.RetryAfter = d
	return &out
}

// From returns the first Error in err's chain, or an Internal one with err's message.
func From(err error) *Error {
	var e *Error
	if errors.As(err, &e) {
		return e
	}
	return &Error{Code: Internal, Message: err.Error()}
}

// DocLine renders an entry as a table row of docs/RESULT-CODES.md.
func DocLine(e Entry) string {
	notRun := "no"
	if e.NotRun {
		notRun = "yes"
	}
	return fmt.Sprintf("| %d | `%s` | %d | %s | %s |", uint32(e.Code), e.Name, e.Status, notRun, e.Meaning)
}
