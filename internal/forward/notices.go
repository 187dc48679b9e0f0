package forward

import (
	"math"
	"net/http"
	"strconv"
	"time"

	"chestnutrouter.example/chestnutrouter/internal/balancer"
	"chestnutrouter.example/chestnutrouter/internal/wire"
)

// noticesOf returns what a response that the Dialect has translated says about further requests.
// pause is that of the response as it was received, see pauseOf.
func noticesOf(resp *http.Response, pause time.Duration) balancer.Notices {
	return balancer.Notices{
		Leaving: resp.Header.Get(wire.HeaderLeaving) != "", Pause: pause,
		WarmUp: ParseWarmUp(resp.Header.Get(wire.HeaderWarmUp)),
	}
}

// ParseWarmUp parses the time for which a server still is cold, in whole milliseconds. It returns
// zero for any other value.
func ParseWarmUp(value string) time.Duration {
	ms, err := strconv.ParseInt(value, 10, 64)
	if err != nil || ms <= 0 {
		return 0
	}
	return time.Duration(min(ms, balancer.MaxWarmUp.Milliseconds())) * time.Millisecond
}

// pauseOf returns for how long a server that turned a request away wants none, zero if it does not
// say so.
func pauseOf(resp *http.Response) time.Duration {
	if resp.StatusCode != http.StatusServiceUnavailable {
		return 0
	}
	return ParseRetryAfter(resp.Header.Get("Retry-After"))
}

// ParseRetryAfter parses a Retry-After in seconds, which may have fractions. It returns zero for any
// other value.
func ParseRetryAfter(value string) time.Duration {
	seconds, err := strconv.ParseFloat(value, 64)
	if err != nil || math.IsNaN(seconds) || seconds <= 0 {
		return 0
	}
	return time.Duration(min(seconds, balancer.MaxPause.Seconds()) * float64(time.Second))
}
