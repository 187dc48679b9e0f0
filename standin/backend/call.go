package backend

import (
	"bytes"
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"time"

	"chestnutrouter.example/chestnutrouter/internal/wire"
)

// Response is the JSON body of the response to a request that was run.
type Response struct {
	// Server is the name of the backend server.
	Server string `json:"server"`
	// Request is the value of HeaderRequest.
	Request string `json:"request,omitempty"`
	// Operation is the request's operation id.
	Operation string `json:"operation,omitempty"`
	// Run is how often this server has run the operation, including this run.
	Run int `json:"run"`
	// Length is the size of the request body in bytes.
	Length int64 `json:"length"`
	// SHA256 is the hexadecimal hash of the request body.
	SHA256 string `json:"sha256"`
	// Filler has the length that HeaderResponseBytes requested, up to maxFillerBytes.
	Filler string `json:"filler,omitempty"`
}

// maxFillerBytes bounds the filler that HeaderResponseBytes can request.
const maxFillerBytes = 64 << 20

// serveCall serves one request of a caller.
func (s *Server) serveCall(w http.ResponseWriter, r *http.Request) {
	f := s.currentFaults()
	if f.FailFast {
		s.refuse(w, http.StatusInternalServerError)
		return
	}
	if f.Shed || !s.slots.acquire(r.Context()) {
		s.runs.recordShed()
		w.Header().Set(wire.HeaderLoadShed, wire.ShedNotRun)
		s.refuse(w, http.StatusServiceUnavailable)
		return
	}
	response, ok := s.run(r, f)
	s.slots.release()
	if !ok || f.CloseWithoutResponse {
		panic(http.ErrAbortHandler)
	}
	s.writeResponse(w, r, response, f.TruncateResponse)
}

// run reads the body and waits for the service time. It returns false if the
// caller disconnected first.
func (s *Server) run(r *http.Request, f Faults) (Response, bool) {
	hash := sha256.New()
	length, err := io.Copy(hash, r.Body)
	if err != nil {
		return Response{}, false
	}
	operation := r.Header.Get(wire.HeaderOperation)
	response := Response{
		Server:    s.name,
		Request:   r.Header.Get(HeaderRequest),
		Operation: operation,
		Run:       s.runs.recordRun(operation, f.Draining),
		Length:    length,
		SHA256:    hex.EncodeToString(hash.Sum(nil)),
	}
	return response, sleep(r.Context(), s.serviceTimeFor(r, f))
}

// serviceTimeFor returns the service time of one request.
func (s *Server) serviceTimeFor(r *http.Request, f Faults) time.Duration {
	d := s.serviceTime
	if requested, err := time.ParseDuration(r.Header.Get(HeaderServiceTime)); err == nil {
		d = requested
	}
	if f.SlowFactor > 0 {
		d = time.Duration(float64(d) * f.SlowFactor)
	}
	return d
}

func (s *Server) refuse(w http.ResponseWriter, status int) {
	w.Header().Set(wire.HeaderLoadReport, s.loadReport())
	w.WriteHeader(status)
}

// writeResponse sends the response. If truncate is set, it sends half of the body and
// closes the connection.
func (s *Server) writeResponse(w http.ResponseWriter, r *http.Request, a Response, truncate bool) {
	if n, err := strconv.Atoi(r.Header.Get(HeaderResponseBytes)); err == nil && n > 0 {
		a.Filler = string(bytes.Repeat([]byte{'x'}, min(n, maxFillerBytes)))
	}
	body, err := json.Marshal(a)
	if err != nil {
		s.refuse(w, http.StatusInternalServerError)
		return
	}
	header := w.Header()
	header.Set("Content-Type", "application/json")
	header.Set("Content-Length", strconv.Itoa(len(body)))
	header.Set(HeaderRequest, a.Request)
	header.Set(wire.HeaderLoadReport, s.loadReport())
	if truncate {
		_, _ = w.Write(body[:len(body)/2])
		_ = http.NewResponseController(w).Flush()
		panic(http.ErrAbortHandler)
	}
	// A failed write means that the caller has disconnected, so there is nobody to
	// report it to.
	_, _ = w.Write(body)
}

// sleep waits for d and returns false if ctx ends first.
func sleep(ctx context.Context, d time.Duration) bool {
	if d <= 0 {
		return ctx.Err() == nil
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}
