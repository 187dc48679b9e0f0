package peer

import "net/http"

// ReceiverOperation is the name to register the operation receiver under.
const ReceiverOperation = "Operation"

// Methods of ReceiverOperation.
const (
	// MethodOperationAsk asks the owner for the outcome of an operation; the owner
	// may run it.
	MethodOperationAsk = ReceiverOperation + ".Ask"
	// MethodOperationSeal hands over the seal of a stopping entry: the final record
	// of its operations.
	MethodOperationSeal = ReceiverOperation + ".Seal"
)

// AskArgs asks the owner of an operation to run it, to wait for its current run or
// to return its outcome.
type AskArgs struct {
	// ID is the operation id from the caller's header.
	ID string
	// Caller is the name of the caller, which scopes the operation id.
	Caller string
	// Fingerprint identifies the request.
	Fingerprint [16]byte
	// TimeoutMs is how long the requesting entry waits, in milliseconds.
	TimeoutMs int64
	// HasRequest is false if the request streams its body and so cannot be
	// forwarded; the owner then settles an operation that it has not seen.
	HasRequest bool
	// Request is the complete request.
	Request HTTPRequest
}

// HTTPRequest is a caller's request with its complete body.
type HTTPRequest struct {
	Method, Host, URI string
	Header            http.Header
	Body              []byte
}

// AskReply is the outcome of the operation.
type AskReply struct {
	// Refused is set if there is no response; the next five fields give the reason.
	Refused      bool
	Outcome      string
	Reason       string
	Status       int
	RetryAfterMs int64
	Detail       string
	// Answer is the backend server's complete response.
	Answer HTTPResponse
}

// HTTPResponse is a backend server's response with its complete body.
type HTTPResponse struct {
	Status int
	Header http.Header
	Body   []byte
	Server string
}

// SealArgs carries the seal of a stopped entry: the final record of its operations.
type SealArgs struct {
	// Record is the seal as it is stored in the log.
	Record []byte
}

// SealReply is empty.
type SealReply struct{}
