package atmostonce_test

import (
	"fmt"
	"sync"

	"chestnutrouter.example/chestnutrouter/internal/outcome"
)

// requestKey identifies a caller's request. A caller may use one operation id, by
// mistake, for several requests. A lookup has no operation id and may run more
// than once.
type requestKey struct{ operation, caller, request string }

// oracle is the reference model: it records what ran and which outcomes callers got.
// It is safe for concurrent use.
type oracle struct {
	mu              sync.Mutex
	runsByOperation map[string]int      // runs of each operation id
	runsByRequest   map[requestKey]int  // runs of each request
	reportedNotRun  map[requestKey]bool // requests whose caller got "not-run"
	outcomes        map[outcome.Outcome]int
	problems        []string
}

func newOracle() *oracle {
	return &oracle{
		runsByOperation: map[string]int{},
		runsByRequest:   map[requestKey]int{},
		reportedNotRun:  map[requestKey]bool{}, outcomes: map[outcome.Outcome]int{},
	}
}

// recordRun records that a backend server ran the request.
func (o *oracle) recordRun(k requestKey) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.runsByOperation[k.operation]++
	o.runsByRequest[k]++
	if k.operation != "" && o.runsByOperation[k.operation] > 1 {
		o.addProblem("operation %s ran %d times, want at most once", k.operation, o.runsByOperation[k.operation])
	}
	if o.reportedNotRun[k] {
		o.addProblem("%v ran after its caller was told that it was not run", k)
	}
}

// recordOutcome records the outcome that a caller got. A complete response of a
// backend server names the request that it belongs to, which is respondedTo;
// otherwise that is nil.
func (o *oracle) recordOutcome(k requestKey, got outcome.Outcome, respondedTo *requestKey) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.outcomes[got]++
	switch got {
	case outcome.NotRun:
		o.reportedNotRun[k] = true
		if o.runsByRequest[k] > 0 {
			o.addProblem("%v ran, and its caller was told that it was not run", k)
		}
	case outcome.Ran:
		if o.runsByRequest[k] == 0 {
			o.addProblem("%v did not run, and its caller was told that it ran", k)
		}
		if respondedTo != nil && *respondedTo != k {
			o.addProblem("%v got the response to %v", k, *respondedTo)
		}
	case outcome.Unknown:
	default:
		o.addProblem("%v got unexpected outcome %q", k, got)
	}
}

// addProblem records a violated guarantee; the caller holds mu.
func (o *oracle) addProblem(format string, args ...any) {
	o.problems = append(o.problems, fmt.Sprintf(format, args...))
}

func (o *oracle) firstProblem() string {
	o.mu.Lock()
	defer o.mu.Unlock()
	if len(o.problems) == 0 {
		return ""
	}
	return o.problems[0]
}
