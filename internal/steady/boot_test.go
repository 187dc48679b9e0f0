package steady_test

import (
	"testing"
	"time"

	"chestnutrouter.example/chestnutrouter/internal/steady"
)

// SinceBoot must advance with time and never go back.
func TestSinceBootAdvances(t *testing.T) {
	before := steady.SinceBoot()
	time.Sleep(time.Millisecond)
	if passed := steady.SinceBoot() - before; passed < time.Millisecond {
		t.Errorf("advanced by %v in a millisecond", passed)
	}
}
