package logservice

import (
	"context"
	"encoding/json"
	"errors"
	"net/http"

	"chestnutrouter.example/chestnutrouter/internal/fleet"
)

// cachedList is the last VM list with the tag that the platform gave it.
type cachedList struct {
	tag string
	vms []fleet.VM
	// answerBytes is the size of the last answer, 0 where it was not sent again.
	answerBytes int64
}

// taggedList decodes a VM list; the tag is that of the answer.
type taggedList struct {
	tag   string
	vms   []fleet.VM
	bytes int64
}

// UnmarshalJSON reads the array of VMs.
func (l *taggedList) UnmarshalJSON(data []byte) error {
	l.bytes = int64(len(data))
	return json.Unmarshal(data, &l.vms)
}

var errNotModified = errors.New("platform: not modified")

// VMs implements VMList. Where the platform tags its answers, an unchanged list
// is not sent again; the returned slice must not be changed.
func (h *Client) VMs(ctx context.Context) ([]fleet.VM, error) {
	known := h.knownList()
	c := call{
		operation: "read vms",
		method:    http.MethodGet,
		path:      "/vms",
		timeout:   h.opts.Timeout,
		header:    http.Header{},
	}
	if known.tag != "" {
		c.header.Set("If-None-Match", known.tag)
	}
	var answer taggedList
	err := h.do(ctx, c, &answer)
	next := cachedList{tag: answer.tag, vms: answer.vms, answerBytes: answer.bytes}
	if errors.Is(err, errNotModified) {
		next = cachedList{tag: known.tag, vms: known.vms}
	} else if err != nil {
		return nil, err
	}
	h.listMu.Lock()
	defer h.listMu.Unlock()
	h.list = next
	return next.vms, nil
}

// VMsBytes returns the size of the last VM list that was sent, and 0 where it
// was unchanged.
func (h *Client) VMsBytes() int64 { return h.knownList().answerBytes }

func (h *Client) knownList() cachedList {
	h.listMu.Lock()
	defer h.listMu.Unlock()
	return h.list
}
