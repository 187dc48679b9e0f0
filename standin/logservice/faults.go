package logservice

import (
	"context"
	"net/http"
	"slices"
	"time"

	"chestnutrouter.example/chestnutrouter/internal/logservice"
)

// AllClients in Disconnected or Hung matches every client.
const AllClients = "*"

// Faults are the active faults; the zero value is a healthy platform.
type Faults struct {
	// Down responds to every request with 503.
	Down bool `json:"down,omitempty"`
	// Disconnected lists the clients whose connections are closed without a response.
	Disconnected []string `json:"cut,omitempty"`
	// Hung lists the clients whose requests never get a response.
	Hung []string `json:"frozen,omitempty"`
	// DelayMs delays every response, in milliseconds.
	DelayMs int `json:"delay_ms,omitempty"`
	// LoseAppendResponses is how many of the next appends take effect, but have
	// their connection closed without a response.
	LoseAppendResponses int `json:"lose_append_answers,omitempty"`
	// RepeatRecords returns the records of a page twice.
	RepeatRecords bool `json:"repeat_records,omitempty"`
	// ReverseRecords returns the records of a page in reverse order.
	ReverseRecords bool `json:"reverse_records,omitempty"`
	// VMLagMs is the age of the returned VM list, in milliseconds.
	VMLagMs int `json:"vm_lag_ms,omitempty"`
	// OmitVMListETag omits the ETag of the VM list, so that it is always sent in full.
	OmitVMListETag bool `json:"plain_vms,omitempty"`
}

func includesClient(clients []string, client string) bool {
	return slices.Contains(clients, client) || slices.Contains(clients, AllClients)
}

// admit applies the faults that affect all requests of a client, and reports
// whether to serve the request.
func (s *Server) admit(w http.ResponseWriter, r *http.Request) bool {
	client := r.Header.Get(logservice.HeaderClient)
	f := s.currentFaults()
	sleep(r.Context(), time.Duration(f.DelayMs)*time.Millisecond)
	return s.admitWithFaults(w, r, f, client)
}

// admitWithFaults applies the given faults, except for the delay, and reports
// whether to serve the request.
func (s *Server) admitWithFaults(w http.ResponseWriter, r *http.Request, f Faults, client string) bool {
	switch {
	case includesClient(f.Hung, client):
		<-r.Context().Done()
		return false
	case includesClient(f.Disconnected, client):
		closeConnection(w)
		return false
	case f.Down:
		http.Error(w, "the platform is down", http.StatusServiceUnavailable)
		return false
	}
	return true
}

// closeConnection closes the client's connection without a response.
func closeConnection(w http.ResponseWriter) {
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

// distort applies the faults that affect the records of a page.
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
