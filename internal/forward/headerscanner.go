package forward

import "bytes"

// informationalPrefix starts the status line of an informational (1xx) response.
const informationalPrefix = "HTTP/1.1 1"

// headerEnd ends the header section of an HTTP/1.1 message.
var headerEnd = []byte("\r\n\r\n")

// headerScanner finds the end of a response's header section in the bytes read
// from a connection, and counts the bytes after it. It skips informational
// responses.
type headerScanner struct {
	done      bool
	lines     int   // in header sections so far, also of informational responses
	bodyBytes int64 // bytes after the final header section
	prefix    [len(informationalPrefix)]byte
	prefixLen int    // bytes in prefix
	tail      []byte // last bytes of an incomplete header section, which may start headerEnd
}

func (s *headerScanner) feed(p []byte) {
	for len(p) > 0 && !s.done {
		p = s.scan(p)
	}
	s.bodyBytes += int64(len(p))
}

// scan consumes bytes up to the end of one header section and returns the rest.
func (s *headerScanner) scan(p []byte) []byte {
	s.prefixLen += copy(s.prefix[s.prefixLen:], p)
	counted := len(s.tail)
	if counted > 0 {
		p = append(s.tail, p...)
	}
	end := bytes.Index(p, headerEnd)
	if end < 0 {
		s.lines += bytes.Count(p[counted:], []byte{'\n'})
		s.tail = bytes.Clone(p[max(0, len(p)-len(headerEnd)+1):])
		return nil
	}
	s.lines += bytes.Count(p[min(counted, end):end], []byte{'\n'})
	s.done = string(s.prefix[:s.prefixLen]) != informationalPrefix
	s.prefixLen, s.tail = 0, nil
	return p[end+len(headerEnd):]
}
