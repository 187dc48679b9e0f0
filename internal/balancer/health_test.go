package balancer

import (
	"testing"
	"time"

	"github.com/uber-go/tally/v4"
)

// failUntilEjected fails all requests to the server that is not among the others, until
// it is ejected.
func failUntilEjected(t *testing.T, b *Balancer, now time.Time, kind ResultKind, others ...string) {
	t.Helper()
	for range 20 {
		r, ok := b.Pick(now, others)
		if !ok {
			return
		}
		b.Done(r, now, Result{Kind: kind, Latency: time.Microsecond})
	}
	t.Fatal("server not ejected after 20 failures")
}

func counterValue(scope tally.TestScope, name, reason string) int64 {
	for _, c := range scope.Snapshot().Counters() {
		if c.Name() == name && c.Tags()["reason"] == reason {
			return c.Value()
		}
	}
	return 0
}

func TestEjectionReasonsAreCounted(t *testing.T) {
	scope := tally.NewTestScope("", nil)
	b := New(Options{Scope: scope})
	b.Update(vms("s1", "s2", "s3", "s4", "s5", "s6"), shopService())
	failUntilEjected(t, b, start, Error, "s2", "s3", "s4", "s5", "s6")
	failUntilEjected(t, b, start, DialFailed, "s1", "s3", "s4", "s5", "s6")
	for _, reason := range []string{"error", "dial_failed"} {
		if n := counterValue(scope, "ejections", reason); n != 1 {
			t.Errorf("ejections with reason %s: %d, want 1", reason, n)
		}
	}
	for range 20 {
		r, _ := b.Pick(start, []string{"s1", "s2", "s4", "s5", "s6"})
		b.Done(r, start, Result{Kind: Error})
	}
	if n := counterValue(scope, "ejections", "ignored_past_cap"); n != 1 {
		t.Errorf("ejections ignored past the cap: %d, want 1", n)
	}
	seen := map[string]bool{}
	for range 18 {
		r, ok := b.Pick(start, nil)
		if !ok {
			t.Fatal("no server picked with more ejections than the cap, want all servers in use")
		}
		seen[r.VM.Name] = true
	}
	if len(seen) != 6 {
		t.Errorf("picks past the cap reached %d servers, want 6", len(seen))
	}
}

func TestFastFailureDrawsNoLoad(t *testing.T) {
	b := newShopBalancer("good", "bad")
	picks := map[string]int{}
	for i := range 1000 {
		now := start.Add(time.Duration(i) * time.Millisecond)
		r, ok := b.Pick(now, nil)
		if !ok {
			t.Fatal("no server picked")
		}
		picks[r.VM.Name]++
		result := Result{Latency: 10 * time.Millisecond}
		if r.VM.Name == "bad" {
			result = Result{Kind: Error, Latency: time.Microsecond}
		}
		b.Done(r, now, result)
	}
	if picks["bad"] > 100 {
		t.Errorf("the failing server got %d of 1000 requests, want at most 100", picks["bad"])
	}
}

func TestEjectedServerReturnsWithOneRequest(t *testing.T) {
	b := newShopBalancer("s1", "s2", "s3", "s4")
	others := []string{"s2", "s3", "s4"}
	failUntilEjected(t, b, start, Error, others...)
	later := start.Add(minEjection)
	first, ok := b.Pick(later, others)
	if !ok {
		t.Fatal("server not picked after its ejection ended")
	}
	if _, ok := b.Pick(later, others); ok {
		t.Fatal("a second request was sent while the first one after the ejection was in progress")
	}
	b.Done(first, later, Result{Latency: time.Millisecond})
	for range 2 {
		if _, ok := b.Pick(later, others); !ok {
			t.Fatal("server still half-open after a complete response")
		}
	}
}

func TestJoiningServerStartsSlowly(t *testing.T) {
	b := New(Options{})
	b.UpdateAt(start, vms("s1", "s2"), shopService())
	b.UpdateAt(start, vms("s1", "s2", "s3"), shopService())
	for range 4 {
		if r, _ := b.Pick(start, nil); r.VM.Name == "s3" {
			t.Fatal("picked the joining server s3, want no request in slow start")
		}
	}
	warm := start.Add(slowStart)
	if r, _ := b.Pick(warm, nil); r.VM.Name != "s3" {
		t.Fatalf("picked %s, want the idle server s3 after its slow start", r.VM.Name)
	}
}
