package frontend

import (
	"io"
	"maps"
	"net/http"

	"chestnutrouter.example/chestnutrouter/internal/forward"
	"chestnutrouter.example/chestnutrouter/internal/operation"
	"chestnutrouter.example/chestnutrouter/internal/outcome"
	"chestnutrouter.example/chestnutrouter/internal/wire"
)

// maxStoredBodyBytes is the largest response body that is stored, so that a retry of
// the operation gets it again. Such a body is read completely before it is sent.
const maxStoredBodyBytes = operation.DefaultMaxResponseBytes

// writeStreamed streams a backend server's response to the caller and returns its
// outcome. A truncated response aborts the caller's connection.
func (h *Handler) writeStreamed(w http.ResponseWriter, resp *forward.Response) outcome.Outcome {
	resp.Header.Set(wire.HeaderOutcome, string(outcome.Ran))
	resp.Header.Set(wire.HeaderEntry, h.VM)
	resp.Header.Set(wire.HeaderServer, resp.Server)
	resp.Header.Del(wire.HeaderReason)
	if err := forward.WriteResponse(w, resp); err != nil {
		h.Scope.Counter("callers_gone").Inc(1)
	}
	return outcome.Ran
}

// writeStored writes the stored result of an operation that another request or
// another entry ran, and returns its outcome.
func (h *Handler) writeStored(w http.ResponseWriter, resp operation.Response, refusal *outcome.Refusal) outcome.Outcome {
	if refusal != nil {
		return h.refuse(w, refusal)
	}
	header := w.Header()
	maps.Copy(header, resp.Header)
	header.Set(wire.HeaderOutcome, string(outcome.Ran))
	header.Set(wire.HeaderEntry, h.VM)
	header.Set(wire.HeaderServer, resp.Server)
	header.Del(wire.HeaderReason)
	w.WriteHeader(resp.Status)
	if _, err := w.Write(resp.Body); err != nil {
		h.Scope.Counter("callers_gone").Inc(1)
	}
	return outcome.Ran
}

// readForStorage reads the response up to the size that an operation stores, and
// resets Body to its start. A body that is truncated within that size is refused as
// unknown, as nothing of it has been written to the caller yet.
func readForStorage(resp *forward.Response) (operation.Response, *outcome.Refusal) {
	prefix, err := io.ReadAll(io.LimitReader(resp.Body, maxStoredBodyBytes+1))
	if err != nil {
		detail := "the backend server broke its answer off; ask again with the same operation id"
		return operation.Response{}, outcome.NewUnknown(outcome.ReasonServerHungUp, detail)
	}
	stored := operation.Response{Status: resp.Status, Header: resp.Header.Clone(), Server: resp.Server}
	if len(prefix) <= maxStoredBodyBytes {
		stored.Body = prefix
		stored.BodyStored = true
	}
	resp.Body = forward.WithPrefix(prefix, resp.Body)
	return stored, nil
}
