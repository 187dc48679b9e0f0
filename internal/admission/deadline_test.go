package admission

import (
	"context"
	"net/http"
	"testing"

	"chestnutrouter.example/chestnutrouter/internal/outcome"
)

// A request whose deadline passes in the queue was not run, so its caller must get the status that
// says so and may repeat it.
func TestDeadlineInTheQueueIsAnswered503(t *testing.T) {
	ctx, cancel := context.WithTimeout(context.Background(), 0)
	defer cancel()
	if r := contextRefusal(ctx); r.Status != http.StatusServiceUnavailable || r.Outcome != outcome.NotRun || r.Reason != outcome.ReasonDeadline || r.RetryAfter <= 0 {
		t.Errorf("got %d, %s, %s, Retry-After %v, want 503, not-run, deadline and a Retry-After", r.Status, r.Outcome, r.Reason, r.RetryAfter)
	}
}
