package frontend

import (
	"net/http"
	"time"
)

const (
	// shortAnswerTime bounds the writing of an answer that belongs to no call.
	shortAnswerTime = 10 * time.Second
	// callGrace is how long after its deadline a call may still be read or
	// written, so that its refusal reaches the caller.
	callGrace = time.Second
)

// boundShortAnswer bounds the answer of a request without a deadline of its own.
// Every request sets the bounds anew, as they belong to the connection.
func boundShortAnswer(w http.ResponseWriter, now time.Time) {
	setWriteDeadline(w, now.Add(shortAnswerTime))
}

// boundCall bounds how long a slow caller may take to send its request and to
// read its answer: it must not hold a place at a backend server for ever.
func boundCall(w http.ResponseWriter, deadline time.Time) {
	setReadDeadline(w, deadline.Add(callGrace))
	setWriteDeadline(w, deadline.Add(callGrace))
}

// unboundRead lifts the bound once the body is there. Past it the server would
// take a caller that waits for one that has gone.
func unboundRead(w http.ResponseWriter) { setReadDeadline(w, time.Time{}) }

// A connection that takes no deadline is a test's recorder, which never blocks.

func setReadDeadline(w http.ResponseWriter, at time.Time) {
	_ = http.NewResponseController(w).SetReadDeadline(at)
}

func setWriteDeadline(w http.ResponseWriter, at time.Time) {
	_ = http.NewResponseController(w).SetWriteDeadline(at)
}
