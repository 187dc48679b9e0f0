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

// longestRead bounds the wait of one read of the log, so that a quiet log is
// heard often enough to keep the fence open.
const longestRead = fenceTime / 3

// ContactTracker notes when the newest request was sent that the log or a peer has
// answered. It is safe for concurrent use; the zero ContactTracker has heard nothing.
type ContactTracker struct {
	newest atomic.Pointer[time.Time]
}

// Last returns that time; zero where nothing was answered yet.
func (c *ContactTracker) Last() time.Time {
	if at := c.newest.Load(); at != nil {
		return *at
	}
	return time.Time{}
}

func (c *ContactTracker) note(sent time.Time) {
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

// Client returns a client whose answered calls count as contact.
func (c *ContactTracker) Client(client peer.Client) peer.Client {
	return contactClient{contact: c, client: client}
}

type contactClient struct {
	contact *ContactTracker
	client  peer.Client
}

func (c contactClient) Call(ctx context.Context, address, method string, args, reply any) error {
	sent := time.Now()
	err := c.client.Call(ctx, address, method, args, reply)
	var remote *peer.RemoteError
	if err == nil || errors.As(err, &remote) {
		c.contact.note(sent)
	}
	return err
}

// Log returns a log whose answered requests count as contact. Its reads wait no
// longer than the fence allows; an empty page is then read on as usual.
func (c *ContactTracker) Log(log logservice.Log) logservice.Log {
	return contactLog{contact: c, log: log}
}

type contactLog struct {
	contact *ContactTracker
	log     logservice.Log
}

func (c contactLog) Append(ctx context.Context, stream string, data json.RawMessage) (int64, error) {
	return c.log.Append(ctx, stream, data)
}

func (c contactLog) Read(ctx context.Context, stream string, from int64, wait time.Duration) (logservice.Page, error) {
	sent := time.Now()
	page, err := c.log.Read(ctx, stream, from, min(wait, longestRead))
	if err == nil && stream == logservice.StreamConfig {
		c.contact.note(sent)
	}
	return page, err
}
