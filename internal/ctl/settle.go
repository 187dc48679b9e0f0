package ctl

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"encoding/json"
	"errors"
	"fmt"

	"chestnutrouter.example/chestnutrouter/internal/logservice"
	"chestnutrouter.example/chestnutrouter/internal/statemachine"
)

// publishIDBytes is the length of a publish id before its hex encoding.
const publishIDBytes = 16

func newPublishID() string {
	id := make([]byte, publishIDBytes)
	// rand.Read never fails.
	_, _ = rand.Read(id)
	return hex.EncodeToString(id)
}

// submit appends a publish and returns what became of it. When an answer is
// lost, it reads the log for the publish id before it appends again; a second
// copy that took effect late is ignored by the fold. On an *UnknownError the
// publish may still take effect.
func (c *Client) submit(ctx context.Context, r *reader, p statemachine.Publish) (statemachine.Decision, error) {
	data, err := encode(p)
	if err != nil {
		return statemachine.Decision{}, err
	}
	ctx, cancel := context.WithTimeout(ctx, c.Timeout)
	defer cancel()
	for {
		err := c.tryOnce(ctx, r, data)
		if d, found := r.decision(p.PublishID); found {
			return d, nil
		}
		var refused *RefusedError
		if errors.As(err, &refused) {
			return statemachine.Decision{}, err
		}
		if ctx.Err() != nil {
			return statemachine.Decision{}, &UnknownError{
				Detail: fmt.Sprintf("outcome of publish %s on %s is not known; look for it with history before trying again", p.PublishID, p.Branch),
				Err:    err,
			}
		}
		pause(ctx, pollInterval)
	}
}

// encode returns the record, if entries would take it.
func encode(p statemachine.Publish) (json.RawMessage, error) {
	data, err := statemachine.NewPublish(p).Encode()
	if err == nil {
		_, err = statemachine.DecodeRecord(data)
	}
	if err != nil {
		return nil, &RefusedError{Detail: err.Error()}
	}
	return data, nil
}

// tryOnce appends the record and reads the log up to its end.
func (c *Client) tryOnce(ctx context.Context, r *reader, data json.RawMessage) error {
	offset, err := c.Log.Append(ctx, logservice.StreamConfig, data)
	var unavailable *logservice.UnavailableError
	if errors.As(err, &unavailable) && isRefusal(unavailable) {
		return &RefusedError{Detail: err.Error()}
	}
	if err != nil {
		return errors.Join(err, r.catchUp(ctx))
	}
	return c.readTo(ctx, r, offset)
}

// isRefusal reports whether the platform will refuse the record every time.
func isRefusal(err *logservice.UnavailableError) bool {
	const badRequest, tooLarge = 400, 413
	return err.Status == badRequest || err.Status == tooLarge
}

// readTo reads until the offset is applied or the context ends.
func (c *Client) readTo(ctx context.Context, r *reader, offset int64) error {
	for {
		err := r.catchUp(ctx)
		if r.state.Offset() >= offset {
			return nil
		}
		if ctx.Err() != nil {
			return errors.Join(ctx.Err(), err)
		}
		pause(ctx, pollInterval)
	}
}

// load returns a reader at the present end of the log. It tries until the
// timeout.
func (c *Client) load(ctx context.Context) (*reader, error) {
	ctx, cancel := context.WithTimeout(ctx, c.Timeout)
	defer cancel()
	r := newReader(c.Log)
	for {
		err := r.catchUp(ctx)
		if err == nil {
			return r, nil
		}
		pause(ctx, pollInterval)
		if ctx.Err() != nil {
			return nil, err
		}
	}
}
