// Package outcome defines whether a request ran and why the system refused one.
//
// Every response to a caller carries exactly one Outcome. A Refusal is the
// error that the stages of the request path return when the entry responds in
// place of a backend server.
package outcome

import (
	"fmt"
	"net/http"
	"time"
)

// Outcome tells the caller whether its request ran on a backend server.
type Outcome string

const (
	// Ran means that a backend server responded to the request.
	Ran Outcome = "ran"
	// NotRun means that no backend server has run or ever will run the request.
	NotRun Outcome = "not-run"
	// Unknown means that the request may have run, may be running or may still run.
	Unknown Outcome = "unknown"
)

// Reason is the snake_case cause of a refusal, and the tag of its counter.
type Reason string

// Reasons for a refusal, in the order of the request path.
const (
	ReasonMalformed            Reason = "malformed"
	ReasonOperationMissing     Reason = "operation_missing"
	ReasonOperationInvalid     Reason = "operation_invalid"
	ReasonNoRoute              Reason = "no_route"
	ReasonUnauthenticated      Reason = "unauthenticated"
	ReasonUnproven             Reason = "configuration_unproven"
	ReasonTooLarge             Reason = "too_large"
	ReasonBodyMemory           Reason = "body_memory"
	ReasonNoConfiguration      Reason = "no_configuration"
	ReasonConfigurationBehind  Reason = "configuration_behind"
	ReasonConfigurationChanged Reason = "configuration_changed"
	ReasonStopping             Reason = "stopping"
	ReasonOperationMismatch    Reason = "operation_mismatch"
	ReasonOperationDropped     Reason = "operation_dropped"
	ReasonOperationSealed      Reason = "operation_sealed"
	ReasonOwnerUnreachable     Reason = "owner_unreachable"
	ReasonOwnerUnknown         Reason = "owner_unknown"
	ReasonOperationTableFull   Reason = "operation_table_full"
	ReasonLimitRate            Reason = "limit_rate"
	ReasonLimitConcurrent      Reason = "limit_concurrent"
	ReasonAllowance            Reason = "allowance"
	ReasonAllowanceUnavailable Reason = "allowance_unavailable"
	ReasonQueueFull            Reason = "queue_full"
	ReasonQueueBytes           Reason = "queue_bytes"
	ReasonQueueWait            Reason = "queue_wait"
	ReasonStreams              Reason = "streams"
	ReasonNoServer             Reason = "no_server"
	ReasonServerLimit          Reason = "server_limit"
	ReasonShed                 Reason = "shed"
	ReasonQuarantined          Reason = "quarantined"
	ReasonDialFailed           Reason = "dial_failed"
	ReasonServerHungUp         Reason = "server_hung_up"
	ReasonWrongAnswer          Reason = "wrong_answer"
	ReasonDeadline             Reason = "deadline"
	ReasonCallerGone           Reason = "caller_gone"
	ReasonAnswerNotKept        Reason = "answer_not_kept"
	ReasonInternal             Reason = "internal"
)

// Refusal is the error behind a response that the entry generates itself.
type Refusal struct {
	// Outcome is NotRun only if that is certain.
	Outcome Outcome
	// Reason is the machine-readable cause.
	Reason Reason
	// Status is the HTTP status of the response.
	Status int
	// RetryAfter is how long the caller should wait before it retries; zero if
	// a retry does not help.
	RetryAfter time.Duration
	// Detail describes what is wrong and what to do next.
	Detail string
}

// Error returns the outcome, the reason and the detail.
func (r *Refusal) Error() string {
	return fmt.Sprintf("%s: %s: %s", r.Outcome, r.Reason, r.Detail)
}

// NewNotRun returns a refusal of a request that certainly was not run.
func NewNotRun(status int, reason Reason, detail string) *Refusal {
	return &Refusal{Outcome: NotRun, Reason: reason, Status: status, Detail: detail}
}

// NewUnknown returns a refusal of a request that may have run, with status 502
// (Bad Gateway).
func NewUnknown(reason Reason, detail string) *Refusal {
	return &Refusal{Outcome: Unknown, Reason: reason, Status: http.StatusBadGateway, Detail: detail}
}

// WithRetryAfter returns a copy of the refusal with RetryAfter set to wait.
func (r *Refusal) WithRetryAfter(wait time.Duration) *Refusal {
	c := *r
	c.RetryAfter = wait
	return &c
}
