package quota

import (
	"context"
	"encoding/json"
	"errors"
	"sync/atomic"
	"time"

	"chestnutrouter.example/chestnutrouter/internal/logservice"
	"chestnutrouter.example/chestnutrouter/internal/peer"
)

// maxReadWait bounds the long poll of one log read, so that a log without new
// records still replies often enough to keep this entry unfenced.
const maxReadWait = contactTimeout / 3

// ContactTracker tracks the send time of the newest request to which the log or a peer
// has responded. It is safe for concurrent use. The zero value has had no contact.
type ContactTracker struct {
	newest atomic.Pointer[time.Time]
}

// Last returns the send time of the newest request with a response, or the
// zero time if there is none yet.
func (c *ContactTracker) Last() time.Time {
	if at := c.newest.Load(); at != nil {
		return *at
	}
	return time.Time{}
}

func (c *ContactTracker) record(sent time.Time) {
	for {
		old := c.newest.Load()
		if old != nil && !sent.After(*old) {
			return
		}
		if c.newest.CompareAndSwap(old, &sent) {
			return
		}
	}
}

// Client wraps a client so that its calls that get a reply count as contact.
func (c *ContactTracker) Client(client peer.Client) peer.Client {
	return contactClient{tracker: c, client: client}
}

type contactClient struct {
	tracker *ContactTracker
	client  peer.Client
}

func (c contactClient) Call(ctx context.Context, address, method string, args, reply any) error {
	sent := time.Now()
	err := c.client.Call(ctx, address, method, args, reply)
	var remote *peer.RemoteError
	if err == nil || errors.As(err, &remote) {
		c.tracker.record(sent)
	}
	return err
}

// Log wraps a log so that its successful reads of the config stream count as contact.
// A read waits at most a third of the contact timeout and may then return an empty
// page, after which the caller reads on as usual.
func (c *ContactTracker) Log(log logservice.Log) logservice.Log {
	return contactLog{tracker: c, log: log}
}

type contactLog struct {
	tracker *ContactTracker
	log     logservice.Log
}

func (c contactLog) Append(ctx context.Context, stream string, data json.RawMessage) (int64, error) {
	return c.log.Append(ctx, stream, data)
}

func (c contactLog) Read(ctx context.Context, stream string, from int64, wait time.Duration) (logservice.Page, error) {
	sent := time.Now()
	page, err := c.log.Read(ctx, stream, from, min(wait, maxReadWait))
	if err == nil && stream == logservice.StreamConfig {
		c.tracker.record(sent)
	}
	return page, err
}
