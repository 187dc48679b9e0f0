package forward

import (
	"bytes"
	"io"

	"chestnutrouter.example/chestnutrouter/internal/outcome"
)

// whole reads an answer of at most limit bytes before it counts, so that one
// that breaks off can still be repeated or refused. A longer answer is streamed.
func whole(a *Response, limit int64) (*Response, *SendError) {
	start, err := io.ReadAll(io.LimitReader(a.Body, limit+1))
	if err != nil {
		_ = a.Body.Close()
		return nil, &SendError{
			Stage:      StageAnswer,
			Outcome:    outcome.Unknown,
			Reason:     outcome.ReasonServerHungUp,
			Server:     a.Server,
			BodyRead:   true,
			LoadReport: a.LoadReport,
			Err:        err,
		}
	}
	if int64(len(start)) > limit {
		a.Body = WithPrefix(start, a.Body)
		return a, nil
	}
	a.Body = &prefixed{Reader: bytes.NewReader(start), Closer: a.Body}
	a.ContentLength = int64(len(start))
	return a, nil
}

// WithPrefix returns the body with its start, which was read before, in front.
// Closing it closes the body.
func WithPrefix(start []byte, body io.ReadCloser) io.ReadCloser {
	return &prefixed{Reader: io.MultiReader(bytes.NewReader(start), body), Closer: body}
}

type prefixed struct {
	io.Reader
	io.Closer
}
