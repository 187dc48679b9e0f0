package metrics

import (
	"net/http/httptest"
	"strings"
	"testing"
)

func TestRegistryServesCountsWithTheirReason(t *testing.T) {
	r := NewRegistry()
	Count(r.Scope, Refusals, "queue_full")
	if err := r.Close(); err != nil {
		t.Fatal(err)
	}
	page := httptest.NewRecorder()
	r.Handler.ServeHTTP(page, httptest.NewRequest("GET", "/metrics", nil))
	const want = `chestnutrouter_refusals{reason="queue_full"} 1`
	if !strings.Contains(page.Body.String(), want) {
		t.Errorf("metrics page does not contain %s:\n%s", want, page.Body)
	}
}
