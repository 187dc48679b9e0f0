package balancer

import (
	"fmt"
	"strconv"
	"strings"
)

// maxReportBytes bounds a report header, so that parsing costs little whatever arrives.
const maxReportBytes = 256

// maxReportCount bounds each number of a report.
const maxReportCount = 1 << 20

// Report is the load that a backend server states about itself on an answer.
type Report struct {
	// InFlight is the number of requests that run, without the one answered.
	InFlight int
	// Slots is how many requests the server runs at a time.
	Slots int
	// Queue is the number of requests that wait at the server.
	Queue int
	// Draining means that the server wants no new work.
	Draining bool
	// Slowdown is how long work takes on the server's host now, in percent of the
	// usual time; zero where the server does not tell.
	Slowdown int
}

// ReportError says why a load report was not understood.
type ReportError struct {
	// Field is the key at fault, empty when the value as a whole is.
	Field string
	// Cause says what is wrong.
	Cause string
}

// Error names the field and the cause.
func (e *ReportError) Error() string {
	return fmt.Sprintf("load report: field %q: %s", e.Field, e.Cause)
}

// ParseReport parses "inflight=2,slots=3,queue=0,draining=0". Unknown keys are
// ignored; the error is a *ReportError.
func ParseReport(value string) (Report, error) {
	if value == "" || len(value) > maxReportBytes {
		return Report{}, &ReportError{Cause: "empty or too long"}
	}
	var r Report
	for part := range strings.SplitSeq(value, ",") {
		key, text, ok := strings.Cut(strings.TrimSpace(part), "=")
		if !ok {
			return Report{}, &ReportError{Field: key, Cause: "no value"}
		}
		n, err := strconv.Atoi(text)
		if err != nil || n < 0 || n > maxReportCount {
			return Report{}, &ReportError{Field: key, Cause: "not a count"}
		}
		r.set(key, n)
	}
	return r, nil
}

func (r *Report) set(key string, n int) {
	switch key {
	case "inflight":
		r.InFlight = n
	case "slots":
		r.Slots = n
	case "queue":
		r.Queue = n
	case "draining":
		r.Draining = n > 0
	case "slowdown":
		r.Slowdown = n
	}
}

// busyShare is the part of the slots that are in use.
func (r Report) busyShare() float64 {
	if r.Slots <= 0 {
		return 0
	}
	return min(float64(r.InFlight)/float64(r.Slots), 1)
}

// String returns the header form that ParseReport reads.
func (r Report) String() string {
	draining := 0
	if r.Draining {
		draining = 1
	}
	text := fmt.Sprintf("inflight=%d,slots=%d,queue=%d,draining=%d", r.InFlight, r.Slots, r.Queue, draining)
	if r.Slowdown > 0 {
		text += fmt.Sprintf(",slowdown=%d", r.Slowdown)
	}
	return text
}
