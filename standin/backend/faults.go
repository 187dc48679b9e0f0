package backend

import (
	"encoding/json"
	"net/http"
)

// FalseLoad is a wrong load for the load reports.
type FalseLoad string

const (
	// FalseIdle reports no request in progress and an empty queue.
	FalseIdle FalseLoad = "idle"
	// FalseBusy reports full slots and a full queue.
	FalseBusy FalseLoad = "busy"
)

// Faults are the active faults; the zero value is a healthy server.
type Faults struct {
	// Draining reports draining=1; requests that still arrive are run and counted.
	Draining bool `json:"draining"`
	// Shed refuses every request without running it.
	Shed bool `json:"shed"`
	// SlowFactor multiplies the service time; zero means 1.
	SlowFactor float64 `json:"slow_factor"`
	// FailFast responds with 500 immediately and runs nothing.
	FailFast bool `json:"fail_fast"`
	// CloseWithoutResponse runs the request and closes the connection without a response.
	CloseWithoutResponse bool `json:"hang_up"`
	// TruncateResponse runs the request and closes the connection in the middle of the body.
	TruncateResponse bool `json:"break_off"`
	// FalseLoad falsifies the load reports; empty reports the true load.
	FalseLoad FalseLoad `json:"lie"`
}

// serveFaults replaces the faults with the JSON document in the request body.
func (s *Server) serveFaults(w http.ResponseWriter, r *http.Request) {
	var f Faults
	decoder := json.NewDecoder(r.Body)
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(&f); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	if f.FalseLoad != "" && f.FalseLoad != FalseIdle && f.FalseLoad != FalseBusy {
		http.Error(w, `lie: want "idle" or "busy"`, http.StatusBadRequest)
		return
	}
	s.SetFaults(f)
	w.WriteHeader(http.StatusNoContent)
}
