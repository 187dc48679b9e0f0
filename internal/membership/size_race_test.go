//go:build race

package membership

import (
	"os"
	"runtime"
	"testing"
)

// maxFleet bounds the entries of a test under the race detector, whose runtime
// occasionally fails with the number of goroutines of a larger fleet.
const maxFleet = 19

// TestMain runs the tests on one processor, as on several ones the runtime of the race detector
// occasionally fails in synctest bubbles; see TestMain of storesync.
func TestMain(m *testing.M) {
	runtime.GOMAXPROCS(1)
	os.Exit(m.Run())
}
