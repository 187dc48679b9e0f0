package account

import "bytes"

// headScanner counts the lines of a request's head and finds its end, an empty line.
type headScanner struct {
	lines int
	begun bool // the line has bytes other than its end
	done  bool
}

// add scans more bytes and returns those after the end of the head.
func (h *headScanner) add(p []byte) (rest []byte) {
	for len(p) > 0 && !h.done {
		i := bytes.IndexByte(p, '\n')
		if i < 0 {
			h.begun = h.begun || !isLineEnd(p)
			return nil
		}
		h.begun = h.begun || !isLineEnd(p[:i])
		p = p[i+1:]
		if !h.begun && h.lines > 0 {
			h.done = true
			return p
		}
		h.lines++
		h.begun = false
	}
	return p
}

// isLineEnd reports whether nothing but a carriage return precedes the end of the line.
func isLineEnd(p []byte) bool { return len(p) == 0 || len(p) == 1 && p[0] == '\r' }
