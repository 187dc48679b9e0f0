package forward

import "testing"

// The count of the body's bytes must not depend on how the stream is split into reads.
func TestHeadScannerCountsTheBody(t *testing.T) {
	for _, c := range []struct {
		raw  string
		body int64
	}{
		{"HTTP/1.1 200 OK\r\nA: b\r\n\r\nbody", 4},
		{"HTTP/1.1 200 OK\r\n\r\n", 0},
		{"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early\r\nA: b\r\n\r\nHTTP/1.1 200 OK\r\nA: b\r\n\r\nbo\r\n\r\ndy", 8},
	} {
		for first := range len(c.raw) {
			for second := first; second < len(c.raw); second++ {
				var s headerScanner
				s.feed([]byte(c.raw[:first]))
				s.feed([]byte(c.raw[first:second]))
				s.feed([]byte(c.raw[second:]))
				if !s.done || s.bodyBytes != c.body {
					t.Fatalf("%q split at %d and %d: got %d body bytes, done %v", c.raw, first, second, s.bodyBytes, s.done)
				}
			}
		}
	}
}
