package forward

import "bytes"

// Bounds of an HTTP/1.1 message head.
var (
	headEnd       = []byte("\r\n\r\n")
	interimStatus = []byte("HTTP/1.1 1")
)

// headScanner finds the end of an answer's head in the bytes read from a
// connection, so that the bytes after it can be counted. Interim answers (1xx)
// before it are skipped.
type headScanner struct {
	done  bool
	body  int64 // bytes after the final head
	start []byte
	tail  []byte // last bytes seen, at most len(headEnd)-1
}

func (s *headScanner) feed(p []byte) {
	for len(p) > 0 && !s.done {
		p = s.scan(p)
	}
	s.body += int64(len(p))
}

// scan consumes bytes up to the end of one head and returns the rest.
func (s *headScanner) scan(p []byte) []byte {
	if missing := len(interimStatus) - len(s.start); missing > 0 {
		s.start = append(s.start, p[:min(missing, len(p))]...)
	}
	joined := append(s.tail, p...)
	at := bytes.Index(joined, headEnd)
	if at < 0 {
		s.tail = bytes.Clone(joined[max(0, len(joined)-len(headEnd)+1):])
		return nil
	}
	rest := joined[at+len(headEnd):]
	s.done = !bytes.Equal(s.start, interimStatus)
	s.start, s.tail = nil, nil
	return rest
}
