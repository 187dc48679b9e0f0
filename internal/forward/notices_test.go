package forward

import (
	"testing"
	"time"

	"chestnutrouter.example/chestnutrouter/internal/balancer"
)

func TestParseRetryAfter(t *testing.T) {
	for value, want := range map[string]time.Duration{
		"2": 2 * time.Second, "0.25": 250 * time.Millisecond, "": 0, "0": 0, "-1": 0, "soon": 0, "NaN": 0,
		"Fri, 31 Dec 1999 23:59:59 GMT": 0, "1e300": balancer.MaxPause, "Inf": balancer.MaxPause, "9223372036854775807": balancer.MaxPause,
	} {
		if got := ParseRetryAfter(value); got != want {
			t.Errorf("Retry-After %q: got %v, want %v", value, got, want)
		}
	}
}

// A server's word of its warm-up counts only if it is a number of milliseconds, up to a bound.
func TestParseWarmUp(t *testing.T) {
	for value, want := range map[string]time.Duration{
		"1500": 1500 * time.Millisecond, "": 0, "0": 0, "-1": 0, "3s": 0, "2.5": 0,
		"9223372036854775807": balancer.MaxWarmUp, "99999999999999999999": 0,
	} {
		if got := ParseWarmUp(value); got != want {
			t.Errorf("warm-up %q: got %v, want %v", value, got, want)
		}
	}
}
