//go:build race

package storesync

import (
	"os"
	"runtime"
	"testing"
)

const raceEnabled = true

// TestMain runs the tests on one processor. The runtime of the race detector itself fails in synctest
// bubbles of many goroutines on several processors ("ThreadSanitizer: CHECK failed" or SIGSEGV): 3 of 6
// runs of the clusters of proofworld_test.go at their full size, and none of 6 on one processor. The
// detector orders accesses by synchronization and so needs no parallel execution to find a race.
func TestMain(m *testing.M) {
	runtime.GOMAXPROCS(1)
	os.Exit(m.Run())
}
