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

// submit appends a publish and returns the decision on it. If the response to an
// append is lost, it looks for the publish id in the log before it appends again;
// if the first copy shows up later, the state machine ignores the second one. After
// an *UnknownError the publish may still take effect.
func (c *Client) submit(ctx context.Context, r *logReplayer, p statemachine.Publish) (statemachine.Decision, error) {
	data, err := encode(p)
	if err != nil {
		return statemachine.Decision{}, err
	}
	ctx, cancel := context.WithTimeout(ctx, c.Timeout)
	defer cancel()
	for {
		err := c.appendAndRead(ctx, r, data)
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
		sleep(ctx, pollInterval)
	}
}

// encode returns the record of a publish, or a *RefusedError if entries would
// reject the record.
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

// appendAndRead appends the record and reads the log at least up to it. If the
// append fails, it reads the log up to its current end.
func (c *Client) appendAndRead(ctx context.Context, r *logReplayer, data json.RawMessage) error {
	offset, err := c.Log.Append(ctx, logservice.StreamConfig, data)
	var unavailable *logservice.UnavailableError
	if errors.As(err, &unavailable) && isPermanent(unavailable) {
		return &RefusedError{Detail: err.Error()}
	}
	if err != nil {
		return errors.Join(err, r.catchUp(ctx))
	}
	return c.readUntil(ctx, r, offset)
}

// isPermanent reports whether the platform would refuse the record again on a retry.
func isPermanent(err *logservice.UnavailableError) bool {
	const badRequest, tooLarge = 400, 413
	return err.Status == badRequest || err.Status == tooLarge
}

// readUntil reads the log until the offset is applied or the context is done.
func (c *Client) readUntil(ctx context.Context, r *logReplayer, offset int64) error {
	for {
		err := r.catchUp(ctx)
		if r.state.Offset() >= offset {
			return nil
		}
		if ctx.Err() != nil {
			return errors.Join(ctx.Err(), err)
		}
		sleep(ctx, pollInterval)
	}
}

// load returns a logReplayer at the current end of the log. It retries until the
// timeout.
func (c *Client) load(ctx context.Context) (*logReplayer, error) {
	ctx, cancel := context.WithTimeout(ctx, c.Timeout)
	defer cancel()
	r := newLogReplayer(c.Log)
	for {
		err := r.catchUp(ctx)
		if err == nil {
			return r, nil
		}
		sleep(ctx, pollInterval)
		if ctx.Err() != nil {
			return nil, err
		}
	}
}
