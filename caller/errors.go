package caller

import (
	"fmt"
	"net/http"
	"time"
)

// NotRunError means that the request certainly was not run and never will be.
// It is safe to send it again as a new call.
type NotRunError struct {
	// Status and Reason are the entry's; Status is zero where no entry was reached.
	Status int
	Reason string
	// RetryAfter is how long to wait; zero where the entry named no wait.
	RetryAfter time.Duration
	// Detail is the entry's explanation.
	Detail string
	// Err is the failure where no entry was reached.
	Err error
}

// Error names the reason.
func (e *NotRunError) Error() string {
	return fmt.Sprintf("not run: %s (status %d) %s%s", e.Reason, e.Status, e.Detail, cause(e.Err))
}

// Unwrap returns the failure where no entry was reached.
func (e *NotRunError) Unwrap() error { return e.Err }

// OutcomeUnknownError means that the request may have run, may be running or may
// still run. A call that is not idempotent is repeated only with the same
// Operation, which never runs it twice.
type OutcomeUnknownError struct {
	// Operation is the operation id, or empty for an idempotent call.
	Operation string
	// Status and Reason are the entry's; Status is zero where no answer came.
	Status int
	Reason string
	// Detail is the entry's explanation.
	Detail string
	// Err is the failure where no answer came.
	Err error
}

// Error names the operation and the reason.
func (e *OutcomeUnknownError) Error() string {
	return fmt.Sprintf("outcome unknown: %s (status %d) operation %q %s%s", e.Reason, e.Status, e.Operation, e.Detail, cause(e.Err))
}

// Unwrap returns the failure where no answer came.
func (e *OutcomeUnknownError) Unwrap() error { return e.Err }

// AnswerNotKeptError means that the operation ran and that its answer is gone.
type AnswerNotKeptError struct {
	// Operation is the operation id.
	Operation string
}

// Error names the operation.
func (e *AnswerNotKeptError) Error() string {
	return fmt.Sprintf("operation %q ran; its answer is not kept", e.Operation)
}

// OperationMismatchError means that the operation id was used before with
// another request, which may have run; this request was not run.
type OperationMismatchError struct {
	// Operation is the operation id.
	Operation string
	// Detail is the entry's explanation.
	Detail string
}

// Error names the operation.
func (e *OperationMismatchError) Error() string {
	return fmt.Sprintf("operation %q belongs to another request: %s", e.Operation, e.Detail)
}

func cause(err error) string {
	if err == nil {
		return ""
	}
	return ": " + err.Error()
}

// answeredByEntry reports whether an entry answered in place of a backend server.
func answeredByEntry(resp *http.Response) bool { return resp.Header.Get(headerReason) != "" }
