package forward

import (
	"bytes"
	"context"
	"errors"
	"io"

	"chestnutrouter.example/chestnutrouter/internal/account"
	"chestnutrouter.example/chestnutrouter/internal/outcome"
)

const (
	// minBlockBytes and maxBlockBytes bound the blocks into which a body of unknown length is read.
	// A block has as many bytes as those before it.
	minBlockBytes = 4 << 10
	maxBlockBytes = 64 << 10
)

// bufferResponse reads a body of at most limit bytes completely, so that a truncated response can
// still be retried or refused. A longer body is streamed. The memory is counted at the caller's
// connection before it is used, which may wait for that of others.
func bufferResponse(ctx context.Context, resp *Response, limit int64) (*Response, *SendError) {
	prefix := &heldPrefix{conn: account.FromContext(ctx)}
	if prefix.conn.Hold(copyBufferBytes) {
		prefix.copyHeld = copyBufferBytes
	}
	complete, err := prefix.readFrom(resp.Body, resp.ContentLength, limit)
	if err != nil {
		prefix.rest = resp.Body
		_ = prefix.Close()
		return nil, &SendError{
			Stage:        StageResponse,
			Outcome:      outcome.Unknown,
			Reason:       outcome.ReasonServerHungUp,
			Server:       resp.Server,
			BodyRead:     true,
			LoadReport:   resp.LoadReport,
			RequestLimit: resp.RequestLimit,
			Notices:      resp.Notices,
			Err:          err,
		}
	}
	prefix.rest = resp.Body
	resp.Body = prefix
	if complete {
		resp.ContentLength = prefix.size
		resp.Complete = true
	}
	return resp, nil
}

// heldPrefix is the beginning of a body in memory, followed by the rest of it. Its memory is counted
// at the caller's connection until it was read, or Close.
type heldPrefix struct {
	conn   *account.Conn
	blocks [][]byte
	size   int64 // bytes in the blocks
	held   int64 // bytes of the blocks that conn counts
	ended  bool  // the body ends with the blocks
	rest   io.ReadCloser
	// copyHeld are the bytes that conn counts until Close for the buffer that copies the body to
	// the caller.
	copyHeld int64
}

// readFrom reads a body up to its end, or up to a byte more than limit. It reports whether it has
// reached the end. length is that of the body, or -1 if it is not known.
func (p *heldPrefix) readFrom(body io.Reader, length, limit int64) (complete bool, err error) {
	most := limit + 1
	if length >= 0 {
		most = min(most, length)
	}
	for p.size < most {
		n := min(max(p.size, minBlockBytes), maxBlockBytes)
		if length >= 0 {
			n = most
		}
		block := p.newBlock(min(n, most-p.size))
		read, err := fill(block, body)
		p.blocks = append(p.blocks, block[:read])
		p.size += int64(read)
		if errors.Is(err, io.EOF) {
			p.ended = true
			return true, nil
		}
		if err != nil {
			return false, err
		}
	}
	if p.size > limit {
		return false, nil
	}
	// The end of the body is still to be read.
	var end [1]byte
	if n, err := fill(end[:], body); n > 0 || !errors.Is(err, io.EOF) {
		return false, errors.Join(errExcessBytes, err)
	}
	p.ended = true
	return true, nil
}

// newBlock counts n bytes and returns them. If the connection is shed, they are not counted: its
// request ends soon.
func (p *heldPrefix) newBlock(n int64) []byte {
	if p.conn.Hold(n) {
		p.held += n
	}
	return make([]byte, n)
}

// fill reads until the block is full or r returns an error.
func fill(block []byte, r io.Reader) (int, error) {
	n := 0
	for n < len(block) {
		read, err := r.Read(block[n:])
		n += read
		if err != nil {
			return n, err
		}
	}
	return n, nil
}

// Read implements io.Reader.
func (p *heldPrefix) Read(out []byte) (int, error) {
	for len(p.blocks) > 0 {
		if n := copy(out, p.blocks[0]); n > 0 || len(out) == 0 {
			p.blocks[0] = p.blocks[0][n:]
			return n, nil
		}
		p.blocks = p.blocks[1:]
	}
	p.release()
	if p.ended {
		return 0, io.EOF
	}
	return p.rest.Read(out)
}

// Close implements io.Closer.
func (p *heldPrefix) Close() error {
	p.blocks = nil
	p.release()
	p.conn.Release(p.copyHeld)
	p.copyHeld = 0
	return p.rest.Close()
}

func (p *heldPrefix) release() {
	p.conn.Release(p.held)
	p.held = 0
}

// WithPrefix returns a body that yields prefix, which was read from body before,
// and then the rest of body. Closing it closes body.
func WithPrefix(prefix []byte, body io.ReadCloser) io.ReadCloser {
	return &prefixedBody{Reader: io.MultiReader(bytes.NewReader(prefix), body), Closer: body}
}

type prefixedBody struct {
	io.Reader
	io.Closer
}
