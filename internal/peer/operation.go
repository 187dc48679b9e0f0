package peer

import "net/http"

// ReceiverOperation is the name under which operations are asked for.
const ReceiverOperation = "Operation"

// Methods of ReceiverOperation.
const (
	// MethodOperationAsk asks the owner what an operation came to; it may run it.
	MethodOperationAsk = ReceiverOperation + ".Ask"
	// MethodOperationSeal leaves what a stopping entry knows.
	MethodOperationSeal = ReceiverOperation + ".Seal"
)

// AskArgs asks the owner of an operation to run it, to join its run or to
// return what it came to.
type AskArgs struct {
	// ID is the operation id as in the caller's header.
	ID string
	// Caller scopes the operation.
	Caller string
	// Fingerprint identifies the request.
	Fingerprint [16]byte
	// TimeoutMs is how long the asking entry waits, in milliseconds.
	TimeoutMs int64
	// HasRequest is false where the request streams its body and so can't be
	// passed on; the owner then settles an operation that it has not seen.
	HasRequest bool
	// Request is the whole request.
	Request HTTPRequest
}

// HTTPRequest is a caller's request with its whole body.
type HTTPRequest struct {
	Method, Host, URI string
	Header            http.Header
	Body              []byte
}

// AskReply is what the operation came to.
type AskReply struct {
	// Refused is set where there is no answer; the next five fields say why.
	Refused      bool
	Outcome      string
	Reason       string
	Status       int
	RetryAfterMs int64
	Detail       string
	// Answer is the backend server's whole answer.
	Answer HTTPResponse
}

// HTTPResponse is a backend server's answer.
type HTTPResponse struct {
	Status int
	Header http.Header
	Body   []byte
	Server string
}

// SealArgs is what a stopped entry knew of its operations.
type SealArgs struct {
	// Record is the seal as it stands in the log.
	Record []byte
}

// SealReply is empty.
type SealReply struct{}
