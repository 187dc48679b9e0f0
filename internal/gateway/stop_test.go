package gateway

import (
	"testing"
	"time"
)

// A grace period shorter than the usual times of a stop must still leave an order of events
// that ends before the process is killed.
func TestDrainPlanFitsAnyGracePeriod(t *testing.T) {
	for _, grace := range []time.Duration{
		0, 50 * time.Millisecond, 300 * time.Millisecond, time.Second, 3 * time.Second, 6 * time.Second, time.Minute,
	} {
		p := drainPlan(grace)
		if p.MinAccept < 0 || p.MinAccept > p.MaxAccept || p.MaxAccept > p.CloseAfter || p.CloseAfter > grace {
			t.Errorf("grace %v: plan %+v is not in order", grace, p)
		}
		if grace > 0 && p.CloseAfter == grace {
			t.Errorf("grace %v: no time is left for the exit", grace)
		}
	}
}
