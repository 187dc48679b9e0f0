package gateway

import (
	"bytes"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/charmbracelet/log"

	"chestnutrouter.example/chestnutrouter/internal/eventlog"
	"chestnutrouter.example/chestnutrouter/internal/frontend"
	"chestnutrouter.example/chestnutrouter/internal/outcome"
)

// A line with the same field twice can't be read by some parsers of JSON.
func TestRefusedCallIsLoggedWithEachFieldOnce(t *testing.T) {
	var out bytes.Buffer
	events := eventlog.New(&out, log.InfoLevel)
	refusal := outcome.NewNotRun(http.StatusUnauthorized, outcome.ReasonUnauthenticated, "no key")
	accessLog{events}.logCall(&frontend.AccessRecord{Request: httptest.NewRequest(http.MethodGet, "/", nil), Began: time.Now(), Refusal: refusal})
	events.Close()
	if n := strings.Count(out.String(), `"detail"`); n != 1 {
		t.Errorf("the line has %d fields detail, want 1: %s", n, &out)
	}
}
