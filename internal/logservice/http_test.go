package logservice

import (
	"errors"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
)

// Guards against a log service in trouble that sends a head without end: with the default of
// net/http each call keeps 10 MB of it.
func TestClientRefusesALargeHead(t *testing.T) {
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("X-Fill", strings.Repeat("a", 1<<20))
		_, _ = w.Write([]byte("{}"))
	}))
	defer server.Close()
	c := NewClient([]string{server.URL}, Options{})
	defer c.Close()
	var unavailable *UnavailableError
	if _, err := c.Read(t.Context(), "config", 0, 0); !errors.As(err, &unavailable) {
		t.Errorf("head of 1 MB: got error %v, want *UnavailableError", err)
	}
}
