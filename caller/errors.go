package caller

import (
	"fmt"
	"net/http"
	"time"
)

// NotRunError means that the request certainly did not run and never will.
// It is safe to send it again as a new call.
type NotRunError struct {
	// Status and Reason are from the entry's response; Status is zero if no entry
	// was reached.
	Status int
	Reason string
	// RetryAfter is how long to wait before a retry; zero if the entry did not send a time.
	RetryAfter time.Duration
	// Detail is the entry's explanation.
	Detail string
	// Err is the cause if no entry was reached.
	Err error
}

// Error returns a message with the reason.
func (e *NotRunError) Error() string {
	return fmt.Sprintf("not run: %s (status %d) %s%s", e.Reason, e.Status, e.Detail, causeSuffix(e.Err))
}

// Unwrap returns the cause if no entry was reached.
func (e *NotRunError) Unwrap() error { return e.Err }

// OutcomeUnknownError means that the request may have run, may be running or may
// still run. Retry a non-idempotent call only with Repeat and the same Operation,
// which never runs it twice.
type OutcomeUnknownError struct {
	// Operation is the operation id; empty for an idempotent call.
	Operation string
	// Status and Reason are from the entry's response; Status is zero if there was none.
	Status int
	Reason string
	// Detail is the entry's explanation.
	Detail string
	// Err is the cause if there was no response.
	Err error
}

// Error returns a message with the operation and the reason.
func (e *OutcomeUnknownError) Error() string {
	return fmt.Sprintf("outcome unknown: %s (status %d) operation %q %s%s", e.Reason, e.Status, e.Operation, e.Detail, causeSuffix(e.Err))
}

// Unwrap returns the cause if there was no response.
func (e *OutcomeUnknownError) Unwrap() error { return e.Err }

// AnswerNotKeptError means that the operation ran and that its response is no
// longer stored.
type AnswerNotKeptError struct {
	// Operation is the operation id.
	Operation string
}

// Error returns a message with the operation.
func (e *AnswerNotKeptError) Error() string {
	return fmt.Sprintf("operation %q ran, but its response is not stored", e.Operation)
}

// OperationMismatchError means that the operation id was used before with
// a different request, which may have run; this request did not run.
type OperationMismatchError struct {
	// Operation is the operation id.
	Operation string
	// Detail is the entry's explanation.
	Detail string
}

// Error returns a message with the operation and the entry's explanation.
func (e *OperationMismatchError) Error() string {
	return fmt.Sprintf("operation %q belongs to another request: %s", e.Operation, e.Detail)
}

func causeSuffix(err error) string {
	if err == nil {
		return ""
	}
	return ": " + err.Error()
}

// isEntryResponse reports whether the entry itself generated the response, in place
// of a backend server.
func isEntryResponse(resp *http.Response) bool { return resp.Header.Get(headerReason) != "" }
