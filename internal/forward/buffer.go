package forward

import (
	"bytes"
	"io"

	"chestnutrouter.example/chestnutrouter/internal/outcome"
)

// bufferResponse reads a body of at most limit bytes completely, so that a
// truncated response can still be retried or refused. A longer body is streamed.
func bufferResponse(resp *Response, limit int64) (*Response, *SendError) {
	var buffer bytes.Buffer
	if resp.ContentLength > 0 {
		// The buffer grows when less than MinRead bytes are free, also at the end.
		buffer.Grow(int(min(resp.ContentLength, limit)) + bytes.MinRead)
	}
	_, err := buffer.ReadFrom(io.LimitReader(resp.Body, limit+1))
	prefix := buffer.Bytes()
	if err != nil {
		_ = resp.Body.Close()
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
	if int64(len(prefix)) > limit {
		resp.Body = WithPrefix(prefix, resp.Body)
		return resp, nil
	}
	resp.Body = &prefixedBody{Reader: bytes.NewReader(prefix), Closer: resp.Body}
	resp.ContentLength = int64(len(prefix))
	resp.Complete = true
	return resp, nil
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
