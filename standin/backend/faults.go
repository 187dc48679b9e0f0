package backend

import (
	"encoding/json"
	"net/http"
)

// FalseLoad is what a load report pretends.
type FalseLoad string

const (
	// FalseIdle reports no request in progress and an empty queue.
	FalseIdle FalseLoad = "idle"
	// FalseBusy reports full slots and a full queue.
	FalseBusy FalseLoad = "busy"
)

// Faults are the faults in force; the zero value is a sound server.
type Faults struct {
	// Draining reports draining=1; work that still arrives is run and counted.
	Draining bool `json:"draining"`
	// Shed refuses every request as not run.
	Shed bool `json:"shed"`
	// SlowFactor multiplies the service time; zero means 1.
	SlowFactor float64 `json:"slow_factor"`
	// FailFast answers 500 at once and runs nothing.
	FailFast bool `json:"fail_fast"`
	// CloseWithoutResponse runs the request and closes the connection without an answer.
	CloseWithoutResponse bool `json:"hang_up"`
	// TruncateResponse runs the request and closes the connection in the middle of the body.
	TruncateResponse bool `json:"break_off"`
	// FalseLoad changes the load report.
	FalseLoad FalseLoad `json:"lie"`
}

// serveFaults replaces the faults by the JSON document in the body.
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
