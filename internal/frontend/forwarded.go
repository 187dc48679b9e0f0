package frontend

import (
	"context"
	"errors"
	"io"
	"net/http"
	"time"

	"chestnutrouter.example/chestnutrouter/internal/forward"
	"chestnutrouter.example/chestnutrouter/internal/operation"
	"chestnutrouter.example/chestnutrouter/internal/outcome"
	"chestnutrouter.example/chestnutrouter/internal/wire"
)

// maxForwardedResponseBytes is the largest response body that is returned to the
// entry that forwarded the operation. A larger body is dropped; its caller is
// only notified that the operation ran.
const maxForwardedResponseBytes = 4 << 20

var errResponseTooLarge = errors.New("response is too large for the forwarding entry")

// RunForwarded implements operation.Runner: it runs an operation owned by this entry
// that a caller sent to another entry.
func (h *Handler) RunForwarded(ctx context.Context, _ string, r *http.Request, body []byte) (operation.Response, *outcome.Refusal) {
	defer h.Drainer.EnterForwarded()()
	t := h.Tree.Tree()
	if t == nil {
		return operation.Response{}, noConfiguration()
	}
	c, refusal := newCall(t, r, time.Now())
	if refusal != nil {
		return operation.Response{}, refusal
	}
	c.body = body
	// The forwarding entry has checked that its caller may set this rank.
	if rank, ok := c.match.Service.Rank(r.Header.Get(wire.HeaderRank)); ok {
		c.match.Rank = rank
	}
	ctx, cancel := context.WithDeadline(ctx, c.deadline)
	defer cancel()
	resp, release, refusal := h.acquireAndSend(ctx, r, c)
	if refusal != nil {
		return operation.Response{}, refusal
	}
	defer release()
	return readForwarded(resp)
}

// readForwarded reads the complete response. A truncated one is refused as unknown.
func readForwarded(resp *forward.Response) (operation.Response, *outcome.Refusal) {
	defer resp.Body.Close()
	complete := operation.Response{Status: resp.Status, Header: resp.Header, Server: resp.Server}
	body, err := readAtMost(resp.Body, maxForwardedResponseBytes)
	if errors.Is(err, errResponseTooLarge) {
		return complete, nil
	}
	if err != nil {
		detail := "the backend server broke its answer off; ask again with the same operation id"
		return operation.Response{}, outcome.NewUnknown(outcome.ReasonServerHungUp, detail)
	}
	complete.Body, complete.BodyStored = body, true
	return complete, nil
}

func readAtMost(r io.Reader, limit int64) ([]byte, error) {
	body, err := io.ReadAll(io.LimitReader(r, limit+1))
	if err == nil && int64(len(body)) > limit {
		return nil, errResponseTooLarge
	}
	return body, err
}
