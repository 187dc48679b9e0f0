package logservice

import (
	"encoding/json"
	"net/http"

	"chestnutrouter.example/chestnutrouter/internal/fleet"
)

func (s *Server) putVMs(w http.ResponseWriter, r *http.Request) {
	var vms []fleet.VM
	if decodeBody(w, r, &vms) {
		s.SetVMs(vms)
	}
}

func (s *Server) putFaults(w http.ResponseWriter, r *http.Request) {
	var f Faults
	if decodeBody(w, r, &f) {
		s.SetFaults(f)
	}
}

func (s *Server) getFaults(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, http.StatusOK, s.currentFaults())
}

func (s *Server) expire(w http.ResponseWriter, r *http.Request) {
	var body struct {
		Stream string `json:"stream"`
		Before int64  `json:"before"`
	}
	if decodeBody(w, r, &body) {
		s.Expire(body.Stream, body.Before)
	}
}

func decodeBody(w http.ResponseWriter, r *http.Request, v any) bool {
	d := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxRecordBytes))
	d.DisallowUnknownFields()
	if err := d.Decode(v); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return false
	}
	return true
}
