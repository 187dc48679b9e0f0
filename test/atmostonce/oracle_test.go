package atmostonce_test

import (
	"fmt"
	"sync"

	"chestnutrouter.example/chestnutrouter/internal/outcome"
)

// attemptKey names what a caller asked for: one operation id may be used, by
// mistake, for several requests. A lookup has no operation and may run often.
type attemptKey struct{ operation, caller, request string }

// oracle knows what ran and what callers were told. It is safe for concurrent use.
type oracle struct {
	mu       sync.Mutex
	runs     map[string]int      // by operation id
	ran      map[attemptKey]int  // by request
	notRun   map[attemptKey]bool // told "not run"
	said     map[outcome.Outcome]int
	problems []string
}

func newOracle() *oracle {
	return &oracle{
		runs:   map[string]int{},
		ran:    map[attemptKey]int{},
		notRun: map[attemptKey]bool{}, said: map[outcome.Outcome]int{},
	}
}

// run notes that a backend server ran the request.
func (o *oracle) run(k attemptKey) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.runs[k.operation]++
	o.ran[k]++
	if k.operation != "" && o.runs[k.operation] > 1 {
		o.problem("operation %s ran %d times", k.operation, o.runs[k.operation])
	}
	if o.notRun[k] {
		o.problem("%v ran after its caller was told that it was not run", k)
	}
}

// told notes the answer that a caller got. A whole answer names the request that
// it belongs to.
func (o *oracle) told(k attemptKey, said outcome.Outcome, answered *attemptKey) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.said[said]++
	switch said {
	case outcome.NotRun:
		o.notRun[k] = true
		if o.ran[k] > 0 {
			o.problem("%v ran, and its caller was told that it was not run", k)
		}
	case outcome.Ran:
		if o.ran[k] == 0 {
			o.problem("%v did not run, and its caller was told that it ran", k)
		}
		if answered != nil && *answered != k {
			o.problem("%v got the answer of %v", k, *answered)
		}
	case outcome.Unknown:
	default:
		o.problem("%v got outcome %q", k, said)
	}
}

// problem records a broken promise; the caller holds mu.
func (o *oracle) problem(format string, args ...any) {
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
