package logservice

import (
	"context"
	"net/http"
	"slices"
	"time"

	"chestnutrouter.example/chestnutrouter/internal/logservice"
)

// AllClients in Disconnected or Hung stands for all clients.
const AllClients = "*"

// Faults are the faults in force; the zero value is a healthy platform.
type Faults struct {
	// Down answers every request with a 503.
	Down bool `json:"down,omitempty"`
	// Disconnected names the clients whose connections are hung up on.
	Disconnected []string `json:"cut,omitempty"`
	// Hung names the clients whose requests are never answered.
	Hung []string `json:"frozen,omitempty"`
	// DelayMs delays every answer, in milliseconds.
	DelayMs int `json:"delay_ms,omitempty"`
	// LoseAppendResponses is how many of the next appends take effect and are
	// then hung up on.
	LoseAppendResponses int `json:"lose_append_answers,omitempty"`
	// RepeatRecords puts each record twice into a page.
	RepeatRecords bool `json:"repeat_records,omitempty"`
	// ReverseRecords returns the records of a page last one first.
	ReverseRecords bool `json:"reverse_records,omitempty"`
	// VMLagMs is how old the returned VM list is, in milliseconds.
	VMLagMs int `json:"vm_lag_ms,omitempty"`
	// OmitVMListETag leaves the tag off the VM list, so that it is always sent whole.
	OmitVMListETag bool `json:"plain_vms,omitempty"`
}

func names(clients []string, client string) bool {
	return slices.Contains(clients, client) || slices.Contains(clients, AllClients)
}

// allow applies the faults that hit any request of a client, and reports
// whether the request may go on.
func (s *Server) allow(w http.ResponseWriter, r *http.Request) bool {
	client := r.Header.Get(logservice.HeaderClient)
	f := s.currentFaults()
	sleep(r.Context(), time.Duration(f.DelayMs)*time.Millisecond)
	return s.passes(w, r, f, client)
}

func (s *Server) passes(w http.ResponseWriter, r *http.Request, f Faults, client string) bool {
	switch {
	case names(f.Hung, client):
		<-r.Context().Done()
		return false
	case names(f.Disconnected, client):
		hangUp(w)
		return false
	case f.Down:
		http.Error(w, "the platform is down", http.StatusServiceUnavailable)
		return false
	}
	return true
}

// hangUp closes the client's connection without an answer.
func hangUp(w http.ResponseWriter) {
	conn, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	conn.Close()
}

func sleep(ctx context.Context, d time.Duration) {
	if d == 0 {
		return
	}
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
	case <-ctx.Done():
	}
}

// distort applies the faults that hit the records of a page.
func (f Faults) distort(p logservice.Page) logservice.Page {
	if f.RepeatRecords {
		p.Records = append(p.Records, p.Records...)
	}
	if f.ReverseRecords {
		p.Records = slices.Clone(p.Records)
		slices.Reverse(p.Records)
	}
	return p
}
