package forward

import "bytes"

// interimStart starts the status line of an interim answer (1xx).
const interimStart = "HTTP/1.1 1"

// headEnd ends the head of an HTTP/1.1 message.
var headEnd = []byte("\r\n\r\n")

// headScanner finds the end of an answer's head in the bytes read from a
// connection, so that the bytes after it can be counted. Interim answers before
// it are skipped.
type headScanner struct {
	done  bool
	body  int64 // bytes after the final head
	start [len(interimStart)]byte
	seen  int    // bytes in start
	tail  []byte // unfinished head, only where it came in several reads
}

func (s *headScanner) feed(p []byte) {
	for len(p) > 0 && !s.done {
		p = s.scan(p)
	}
	s.body += int64(len(p))
}

// scan consumes bytes up to the end of one head and returns the rest.
func (s *headScanner) scan(p []byte) []byte {
	s.seen += copy(s.start[s.seen:], p)
	if len(s.tail) > 0 {
		p = append(s.tail, p...)
	}
	at := bytes.Index(p, headEnd)
	if at < 0 {
		s.tail = bytes.Clone(p[max(0, len(p)-len(headEnd)+1):])
		return nil
	}
	s.done = string(s.start[:s.seen]) != interimStart
	s.seen, s.tail = 0, nil
	return p[at+len(headEnd):]
}
