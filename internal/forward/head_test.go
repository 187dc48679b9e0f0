package forward

import "testing"

// The body's bytes are counted alike wherever the reads are cut.
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
				var s headScanner
				s.feed([]byte(c.raw[:first]))
				s.feed([]byte(c.raw[first:second]))
				s.feed([]byte(c.raw[second:]))
				if !s.done || s.body != c.body {
					t.Fatalf("%q cut at %d and %d: body %d, done %v", c.raw, first, second, s.body, s.done)
				}
			}
		}
	}
}
