package balancer

import (
	"testing"
	"time"

	"github.com/uber-go/tally/v4"
)

// failUntilEjected lets picks excluding the others fail until the server is ejected.
func failUntilEjected(t *testing.T, b *Balancer, now time.Time, kind ResultKind, others ...string) {
	t.Helper()
	for range 20 {
		s, ok := b.Pick(now, others)
		if !ok {
			return
		}
		b.Done(s, now, Result{Kind: kind, Latency: time.Microsecond})
	}
	t.Fatal("a server that always fails was never ejected")
}

func count(scope tally.TestScope, name, reason string) int64 {
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
	b.Update(vms("s1", "s2", "s3", "s4", "s5", "s6"), shop())
	failUntilEjected(t, b, start, Error, "s2", "s3", "s4", "s5", "s6")
	failUntilEjected(t, b, start, DialFailed, "s1", "s3", "s4", "s5", "s6")
	for _, reason := range []string{"error", "dial_failed"} {
		if n := count(scope, "ejections", reason); n != 1 {
			t.Errorf("ejections for %s: %d, want 1", reason, n)
		}
	}
	for range 20 {
		s, _ := b.Pick(start, []string{"s1", "s2", "s4", "s5", "s6"})
		b.Done(s, start, Result{Kind: Error})
	}
	if n := count(scope, "ejections", "ignored_past_cap"); n != 1 {
		t.Errorf("ejections past the cap: %d, want 1", n)
	}
	seen := map[string]bool{}
	for range 18 {
		s, ok := b.Pick(start, nil)
		if !ok {
			t.Fatal("past the cap a place was refused")
		}
		seen[s.VM.Name] = true
	}
	if len(seen) != 6 {
		t.Errorf("past the cap picks reached %d of 6 servers", len(seen))
	}
}

func TestFastFailureDrawsNoLoad(t *testing.T) {
	b := newShop("good", "bad")
	picks := map[string]int{}
	for i := range 1000 {
		now := start.Add(time.Duration(i) * time.Millisecond)
		s, ok := b.Pick(now, nil)
		if !ok {
			t.Fatal("no server")
		}
		picks[s.VM.Name]++
		result := Result{Latency: 10 * time.Millisecond}
		if s.VM.Name == "bad" {
			result = Result{Kind: Error, Latency: time.Microsecond}
		}
		b.Done(s, now, result)
	}
	if picks["bad"] > 100 {
		t.Errorf("the failing server got %d of 1000 requests, want at most a tenth", picks["bad"])
	}
}

func TestEjectedServerReturnsWithOneRequest(t *testing.T) {
	b := newShop("s1", "s2", "s3", "s4")
	others := []string{"s2", "s3", "s4"}
	failUntilEjected(t, b, start, Error, others...)
	later := start.Add(shortestEjection)
	trial, ok := b.Pick(later, others)
	if !ok {
		t.Fatal("the server did not come back")
	}
	if _, ok := b.Pick(later, others); ok {
		t.Fatal("a second request joined the first one after an ejection")
	}
	b.Done(trial, later, Result{Latency: time.Millisecond})
	for range 2 {
		if _, ok := b.Pick(later, others); !ok {
			t.Fatal("a whole answer did not end the trial")
		}
	}
}

func TestJoiningServerIsSpared(t *testing.T) {
	b := New(Options{})
	b.UpdateAt(start, vms("s1", "s2"), shop())
	b.UpdateAt(start, vms("s1", "s2", "s3"), shop())
	for range 4 {
		if s, _ := b.Pick(start, nil); s.VM.Name == "s3" {
			t.Fatal("the joining server was taken as idle")
		}
	}
	warm := start.Add(slowStart)
	if s, _ := b.Pick(warm, nil); s.VM.Name != "s3" {
		t.Fatalf("picked %s, want the idle server after its slow start", s.VM.Name)
	}
}
