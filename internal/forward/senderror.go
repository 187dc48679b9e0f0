package forward

import (
	"fmt"

	"chestnutrouter.example/chestnutrouter/internal/balancer"
	"chestnutrouter.example/chestnutrouter/internal/outcome"
)

// Stage is the step of an attempt in which it failed.
type Stage string

const (
	// StageDial is everything before a connection is bound.
	StageDial Stage = "dial"
	// StageWrite is after a connection was bound, before the first byte was written.
	StageWrite Stage = "write"
	// StageWait is between the first written byte and the response's header.
	StageWait Stage = "wait"
	// StageResponse is the response: the server shed the request, broke the
	// protocol, or truncated a buffered body.
	StageResponse Stage = "answer"
)

// SendError reports an attempt without a usable response.
type SendError struct {
	// Stage is where the attempt failed.
	Stage Stage
	// Outcome is NotRun only if no byte was written or the server shed the request.
	Outcome outcome.Outcome
	// Reason is the cause as counted in metrics and sent to the caller.
	Reason outcome.Reason
	// Server is the name of the backend server.
	Server string
	// Written is how many bytes of the request may have reached the server, where
	// the attempt failed at StageWait; a write in progress counts as one byte.
	Written int64
	// BodyRead reports that reading of the request body began, so that it can't be
	// streamed again.
	BodyRead bool
	// LoadReport is the raw load report of the response, or empty.
	LoadReport string
	// RequestLimit is the raw request limit that the response names, or empty.
	RequestLimit string
	// Notices are what the response says about further requests to the server.
	Notices balancer.Notices
	// Err is the underlying error; nil for a shed request.
	Err error
}

// Error returns the server, the stage, the outcome and the cause.
func (e *SendError) Error() string {
	return fmt.Sprintf("attempt at server %s failed at stage %s (%s, %s, %d bytes written): %v",
		e.Server, e.Stage, e.Outcome, e.Reason, e.Written, e.Err)
}

// Unwrap returns the underlying error.
func (e *SendError) Unwrap() error { return e.Err }

// StatusError reports a response with a status that no final response has.
type StatusError struct {
	// Status is the number that the server sent.
	Status int
}

// Error returns the status.
func (e *StatusError) Error() string {
	return fmt.Sprintf("status %03d is not one of a final response", e.Status)
}
