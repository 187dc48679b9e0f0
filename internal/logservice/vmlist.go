package logservice

import (
	"context"
	"encoding/json"
	"errors"
	"net/http"

	"chestnutrouter.example/chestnutrouter/internal/fleet"
)

// cachedList is the last VM list with its ETag.
type cachedList struct {
	etag string
	vms  []fleet.VM
	// responseBytes is the size of the last response's list, 0 if the list was not
	// modified.
	responseBytes int64
}

// taggedList is a decoded VM list with the ETag of its response.
type taggedList struct {
	etag  string
	vms   []fleet.VM
	bytes int64
}

// UnmarshalJSON decodes the array of VMs and records its size.
func (l *taggedList) UnmarshalJSON(data []byte) error {
	l.bytes = int64(len(data))
	return json.Unmarshal(data, &l.vms)
}

var errNotModified = errors.New("platform: not modified")

// VMs implements VMList. If the platform sends ETags, an unchanged list is not
// transferred again. The caller must not change the returned slice.
func (c *Client) VMs(ctx context.Context) ([]fleet.VM, error) {
	cached := c.cachedVMs()
	request := call{
		operation: "read vms",
		method:    http.MethodGet,
		path:      "/vms",
		timeout:   c.opts.Timeout,
		header:    http.Header{},
	}
	if cached.etag != "" {
		request.header.Set("If-None-Match", cached.etag)
	}
	var response taggedList
	err := c.do(ctx, request, &response)
	next := cachedList{etag: response.etag, vms: response.vms, responseBytes: response.bytes}
	if errors.Is(err, errNotModified) {
		next = cachedList{etag: cached.etag, vms: cached.vms}
	} else if err != nil {
		return nil, err
	}
	c.cachedMu.Lock()
	defer c.cachedMu.Unlock()
	c.cached = next
	return next.vms, nil
}

// VMsBytes returns the size of the last VM list in bytes, 0 if the platform
// reported it as unchanged.
func (c *Client) VMsBytes() int64 { return c.cachedVMs().responseBytes }

func (c *Client) cachedVMs() cachedList {
	c.cachedMu.Lock()
	defer c.cachedMu.Unlock()
	return c.cached
}
