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

// keptBodyBytes is the largest body that is held back until it is whole, so that
// a repeat of the operation gets it again.
const keptBodyBytes = operation.DefaultMaxAnswerBytes

// writeStream passes a backend server's answer on as it arrives and returns its outcome. An answer that
// breaks off breaks the caller's connection off too.
func (h *Handler) writeStream(w http.ResponseWriter, a *forward.Response) outcome.Outcome {
	a.Header.Set(wire.HeaderOutcome, string(outcome.Ran))
	a.Header.Set(wire.HeaderEntry, h.VM)
	a.Header.Set(wire.HeaderServer, a.Server)
	a.Header.Del(wire.HeaderReason)
	if err := forward.WriteResponse(w, a); err != nil {
		h.Scope.Counter("callers_gone").Inc(1)
	}
	return outcome.Ran
}

// writeKept writes what a joined or repeated operation came to, and returns its outcome.
func (h *Handler) writeKept(w http.ResponseWriter, a operation.Response, refusal *outcome.Refusal) outcome.Outcome {
	if refusal != nil {
		return h.refuse(w, refusal)
	}
	header := w.Header()
	maps.Copy(header, a.Header)
	header.Set(wire.HeaderOutcome, string(outcome.Ran))
	header.Set(wire.HeaderEntry, h.VM)
	header.Set(wire.HeaderServer, a.Server)
	header.Del(wire.HeaderReason)
	w.WriteHeader(a.Status)
	if _, err := w.Write(a.Body); err != nil {
		h.Scope.Counter("callers_gone").Inc(1)
	}
	return outcome.Ran
}

// readKept reads as much of the answer as an operation keeps. The answer's Body
// then starts anew. A body that breaks off within that size is refused as
// unknown, as nothing of it has been written to the caller yet.
func readKept(a *forward.Response) (operation.Response, *outcome.Refusal) {
	start, err := io.ReadAll(io.LimitReader(a.Body, keptBodyBytes+1))
	if err != nil {
		detail := "the backend server broke its answer off; ask again with the same operation id"
		return operation.Response{}, outcome.NewUnknown(outcome.ReasonServerHungUp, detail)
	}
	kept := operation.Response{Status: a.Status, Header: a.Header.Clone(), Server: a.Server}
	if len(start) <= keptBodyBytes {
		kept.Body = start
		kept.BodyKept = true
	}
	a.Body = forward.WithPrefix(start, a.Body)
	return kept, nil
}
