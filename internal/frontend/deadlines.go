package frontend

import (
	"net/http"
	"time"
)

const (
	// localResponseTimeout bounds the reading of a request that is not a call, and the
	// writing of its response.
	localResponseTimeout = 10 * time.Second
	// callDeadlineGrace is how long after the deadline of a call its request may be
	// read and its response written, so that a refusal still reaches the caller.
	callDeadlineGrace = time.Second
)

// setLocalDeadlines bounds the reading of a request without a deadline of its own and the
// writing of its response. Every request sets the deadlines again, as they persist on the
// connection.
func setLocalDeadlines(w http.ResponseWriter, now time.Time) {
	setReadDeadline(w, now.Add(localResponseTimeout))
	setWriteDeadline(w, now.Add(localResponseTimeout))
}

// setCallDeadlines bounds how long a slow caller may take to send its request and to
// read its response, as it must not occupy a slot at a backend server forever.
func setCallDeadlines(w http.ResponseWriter, deadline time.Time) {
	setReadDeadline(w, deadline.Add(callDeadlineGrace))
	setWriteDeadline(w, deadline.Add(callDeadlineGrace))
}

// clearReadDeadline removes the read deadline after the body has been read. If the
// deadline passed while the caller waits for its response, net/http would treat the
// caller as gone.
func clearReadDeadline(w http.ResponseWriter) { setReadDeadline(w, time.Time{}) }

// Errors of SetReadDeadline and SetWriteDeadline are ignored: only the response
// recorders of tests don't support deadlines, and they never block.

func setReadDeadline(w http.ResponseWriter, at time.Time) {
	_ = http.NewResponseController(w).SetReadDeadline(at)
}

func setWriteDeadline(w http.ResponseWriter, at time.Time) {
	_ = http.NewResponseController(w).SetWriteDeadline(at)
}
