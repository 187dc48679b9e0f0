package forward

import (
	"fmt"

	"chestnutrouter.example/chestnutrouter/internal/outcome"
)

// Stage is the step of an attempt that failed.
type Stage string

const (
	// StageDial is everything before a connection is held.
	StageDial Stage = "dial"
	// StageWrite is a held connection on which no byte of the request was written.
	StageWrite Stage = "write"
	// StageWait is the time between the first written byte and the answer's header.
	StageWait Stage = "wait"
	// StageAnswer is the answer's header: the server refused, or broke the protocol.
	StageAnswer Stage = "answer"
)

// SendError is an attempt that brought no answer.
type SendError struct {
	// Stage is where the attempt ended.
	Stage Stage
	// Outcome is NotRun only where no byte was written or the server said shed.
	Outcome outcome.Outcome
	// Reason is the cause for counters and for the caller.
	Reason outcome.Reason
	// Server is the name of the backend server.
	Server string
	// Written is how many bytes of the request went to the server's connection.
	Written int64
	// BodyRead says that the request body was touched, so that it can't be streamed again.
	BodyRead bool
	// LoadReport is the raw load report on a shed answer, or empty.
	LoadReport string
	// Err is the underlying error; nil for a shed answer.
	Err error
}

// Error returns the stage, the outcome and the cause.
func (f *SendError) Error() string {
	return fmt.Sprintf("attempt at %s failed at %s (%s, %s, %d bytes written): %v",
		f.Server, f.Stage, f.Outcome, f.Reason, f.Written, f.Err)
}

// Unwrap returns the underlying error.
func (f *SendError) Unwrap() error { return f.Err }
