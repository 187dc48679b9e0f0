// Package steady converts times to numbers and back by the monotonic clock, so that ages
// and deadlines which are kept as numbers do not change when the time of day is set.
package steady

import "time"

// epoch carries both clock readings of the start of the process.
var epoch = time.Now()

// Nanos returns the time as nanoseconds since the Unix epoch. Times that were read from the
// clock are converted by the monotonic clock, as if the time of day had never been set since
// the process started.
func Nanos(t time.Time) int64 { return epoch.UnixNano() + int64(t.Sub(epoch)) }

// Millis is like Nanos in milliseconds.
func Millis(t time.Time) int64 { return Nanos(t) / int64(time.Millisecond) }

// Time returns the time of a number that Nanos returned, with a monotonic clock reading.
func Time(nanos int64) time.Time { return epoch.Add(time.Duration(nanos - epoch.UnixNano())) }
