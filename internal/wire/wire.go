// Package wire names the HTTP paths and headers between callers, entries and
// backend servers.
package wire

// Headers between callers and entries.
const (
	// HeaderOperation carries "<ticket>.<caller-chosen 128-bit id in hex>".
	HeaderOperation = "Chestnut-Operation"
	// HeaderTimeoutMs carries the time left in milliseconds, relative to arrival.
	HeaderTimeoutMs = "Chestnut-Timeout-Ms"
	// HeaderAttempt carries the number of earlier attempts along the call chain.
	HeaderAttempt = "Chestnut-Attempt"
	// HeaderRank carries the rank of the outermost call of a nested call.
	HeaderRank = "Chestnut-Rank"
	// HeaderCaller carries the caller's own name, which scopes its operations.
	HeaderCaller = "Chestnut-Caller"
	// HeaderRequestID carries the caller's own name of a request, for the log.
	HeaderRequestID = "Chestnut-Request"
	// HeaderOutcome carries ran, not-run or unknown on every answer.
	HeaderOutcome = "Chestnut-Outcome"
	// HeaderReason carries the snake_case reason of an answer made by the entry.
	HeaderReason = "Chestnut-Reason"
	// HeaderServer carries the name of the backend server that answered.
	HeaderServer = "Chestnut-Server"
	// HeaderEntry carries the name of the entry VM that answered.
	HeaderEntry = "Chestnut-Entry"
)

// Default headers between entries and backend servers; a service may rename them.
const (
	// HeaderLoadReport carries "inflight=2,slots=3,queue=0,draining=0".
	HeaderLoadReport = "Load-Report"
	// HeaderLoadShed carries ShedNotRun on a 503 for a request that was not run.
	HeaderLoadShed = "Load-Shed"
	// ShedNotRun is the value of HeaderLoadShed that proves that nothing ran.
	ShedNotRun = "not-run"
)

// Paths that an entry serves itself.
const (
	// PathPrefix is the prefix of every path that is never a caller's request.
	PathPrefix = "/chestnut/v1/"
	// PathEntries is the path of the address answer.
	PathEntries = PathPrefix + "entries"
)
