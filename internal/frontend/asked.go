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

// maxAskedAnswerBytes is the largest answer that is passed on to the entry that
// asked; a larger one is lost to its caller, who learns that the operation ran.
const maxAskedAnswerBytes = 4 << 20

var errAnswerTooLarge = errors.New("answer is too large to pass on")

// RunForwarded implements operation.Runner: it runs an operation of this entry for a
// caller that sent it to another one.
func (h *Handler) RunForwarded(ctx context.Context, _ string, r *http.Request, body []byte) (operation.Response, *outcome.Refusal) {
	h.Drain.enter()
	defer h.Drain.exit()
	t := h.Trees.Tree()
	if t == nil {
		return operation.Response{}, noConfiguration()
	}
	c, refusal := newCall(t, r, time.Now())
	if refusal != nil {
		return operation.Response{}, refusal
	}
	c.body = body
	// The entry that asks has checked the header against its caller.
	if rank, ok := c.match.Service.Rank(r.Header.Get(wire.HeaderRank)); ok {
		c.match.Rank = rank
	}
	ctx, cancel := context.WithDeadline(ctx, c.deadline)
	defer cancel()
	answer, release, refusal := h.attempt(ctx, r, c)
	if refusal != nil {
		return operation.Response{}, refusal
	}
	defer release()
	return readAsked(answer)
}

// readAsked reads the whole answer. One that breaks off is refused as unknown.
func readAsked(a *forward.Response) (operation.Response, *outcome.Refusal) {
	defer a.Body.Close()
	whole := operation.Response{Status: a.Status, Header: a.Header, Server: a.Server}
	body, err := readAtMost(a.Body, maxAskedAnswerBytes)
	if errors.Is(err, errAnswerTooLarge) {
		return whole, nil
	}
	if err != nil {
		detail := "the backend server broke its answer off; ask again with the same operation id"
		return operation.Response{}, outcome.NewUnknown(outcome.ReasonServerHungUp, detail)
	}
	whole.Body, whole.BodyKept = body, true
	return whole, nil
}

func readAtMost(r io.Reader, limit int64) ([]byte, error) {
	body, err := io.ReadAll(io.LimitReader(r, limit+1))
	if err == nil && int64(len(body)) > limit {
		return nil, errAnswerTooLarge
	}
	return body, err
}
