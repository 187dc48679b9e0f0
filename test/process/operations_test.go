package process_test

import (
	"context"
	"fmt"
	"io"
	"maps"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"chestnutrouter.example/chestnutrouter/internal/proctest"
	"chestnutrouter.example/chestnutrouter/internal/wire"
	"chestnutrouter.example/chestnutrouter/standin/backend"
)

const (
	// orderTime is the service time of an order, long enough to inject a fault while it runs.
	orderTime = time.Second
	// startTimeout bounds the wait until an entry serves or a request is in progress.
	startTimeout = 10 * time.Second
)

// response is what a caller got; status is zero if there was no response.
type response struct {
	status  int
	outcome string
	body    string
	err     error
}

// newOperation returns the id of the n-th operation of a test, owned by the entry.
func newOperation(t *testing.T, e *proctest.Entry, n int) string {
	t.Helper()
	report, err := e.Status()
	if err != nil {
		t.Fatal(err)
	}
	return fmt.Sprintf("%s:%d.%032x", report.Incarnation, 0, n)
}

// order sends an order through an entry on a new connection.
func order(ctx context.Context, e *proctest.Entry, operation string) response {
	return orderTaking(ctx, e, operation, orderTime)
}

// orderTaking sends an order with the given service time.
func orderTaking(ctx context.Context, e *proctest.Entry, operation string, service time.Duration) response {
	header := http.Header{wire.HeaderOperation: {operation}, backend.HeaderServiceTime: {service.String()}}
	return exchange(ctx, e, "POST", "shop.glazenpot.example", "/orders", header, strings.NewReader("kit 7"))
}

// exchange sends one request to an entry on a new connection.
func exchange(ctx context.Context, e *proctest.Entry, method, host, path string, header http.Header, body io.Reader) response {
	client := &http.Client{Transport: &http.Transport{}}
	defer client.CloseIdleConnections()
	req, err := http.NewRequestWithContext(ctx, method, "http://"+e.VM.Address+path, body)
	if err != nil {
		return response{err: err}
	}
	req.Host = host
	req.Header.Set(wire.HeaderTimeoutMs, "8000")
	maps.Copy(req.Header, header)
	req.Header.Set(wire.HeaderCaller, "anna")
	resp, err := client.Do(req)
	if err != nil {
		return response{err: err}
	}
	defer resp.Body.Close()
	text, err := io.ReadAll(resp.Body)
	return response{resp.StatusCode, resp.Header.Get(wire.HeaderOutcome), string(text), err}
}

// waitForRuns waits until the shop's server has begun to run n operations.
func waitForRuns(t *testing.T, shop *backend.Server, n int) {
	t.Helper()
	err := proctest.Until(t.Context(), startTimeout, func() bool { return len(shop.Runs().Operations) >= n })
	if err != nil {
		t.Fatalf("%d operations began to run, want %d", len(shop.Runs().Operations), n)
	}
}

// waitForInFlight waits until the entry has n requests in progress.
func waitForInFlight(t *testing.T, e *proctest.Entry, n int64) {
	t.Helper()
	err := proctest.Until(t.Context(), startTimeout, func() bool { return mustStatus(t, e.Status).InFlight >= n })
	if err != nil {
		t.Fatalf("%s does not have %d requests in progress", e.VM.Name, n)
	}
}

// checkAtMostOnce fails the test if an operation ran more than once.
func checkAtMostOnce(t *testing.T, shop *backend.Server) {
	t.Helper()
	for operation, runs := range shop.Runs().Operations {
		if runs > 1 {
			t.Errorf("operation %s ran %d times, want at most once", operation, runs)
		}
	}
}

// startShop returns a fleet with two entries and a single server for the shop.
func startShop(t *testing.T) (f *proctest.Fleet, shop *backend.Server, first, second *proctest.Entry) {
	f = startFleet(t, 0)
	f.RemoveVM("server-0")
	shop = f.StartLocalServer("shop", "zone-a", "glazenpot/shop", backend.Options{})
	first, second = startEntry(t, f, "entry-0"), startEntry(t, f, "entry-1")
	waitUntilServing(t, first)
	waitUntilServing(t, second)
	return f, shop, first, second
}

// waitUntilServing waits until the entry has its share of the global limits and serves.
func waitUntilServing(t *testing.T, e *proctest.Entry) {
	t.Helper()
	err := proctest.Until(t.Context(), startTimeout, func() bool {
		return exchange(t.Context(), e, "GET", "shop.glazenpot.example", "/kits", nil, nil).status == http.StatusOK
	})
	if err != nil {
		t.Fatalf("%s does not serve calls of the shop", e.VM.Name)
	}
}

// pauseDuringQueueWait pauses the entry while an order waits in its queue: three orders
// hold all slots that the entry sees, so the fourth is accepted but not sent. It returns
// the fourth order's operation and its response.
func pauseDuringQueueWait(t *testing.T, shop *backend.Server, e *proctest.Entry) (waiting string, original <-chan response) {
	t.Helper()
	const tries, slots = 5, 3
	for try := range tries {
		var calls sync.WaitGroup
		for n := range slots {
			holding := newOperation(t, e, try*(slots+1)+n)
			calls.Go(func() { orderTaking(t.Context(), e, holding, 3*orderTime) })
		}
		waitForRuns(t, shop, (try+1)*slots)
		waiting = newOperation(t, e, try*(slots+1)+slots)
		responses := make(chan response, 1)
		calls.Go(func() { responses <- order(t.Context(), e, waiting) })
		waitForInFlight(t, e, slots+1)
		if err := e.Pause(); err != nil {
			t.Fatal(err)
		}
		if len(responses) == 0 {
			t.Cleanup(calls.Wait)
			return waiting, responses
		}
		t.Logf("the wait ended before the entry was paused: %+v", <-responses)
		if err := e.Resume(); err != nil {
			t.Fatal(err)
		}
		calls.Wait()
	}
	t.Fatalf("in %d tries no order still waited when the entry was paused", tries)
	return "", nil
}

// A retry of an order that waits in the queue of a paused entry, through another entry,
// must not run the order a second time.
func TestOrderOfAFrozenEntryRunsOnce(t *testing.T) {
	_, shop, first, second := startShop(t)
	interrupted, original := pauseDuringQueueWait(t, shop, first)
	retry := order(t.Context(), second, interrupted)
	if retry.outcome != "unknown" || shop.Runs().Operations[interrupted] != 0 {
		t.Errorf("retry while paused: got %+v after %d runs, want outcome unknown after none", retry, shop.Runs().Operations[interrupted])
	}
	if err := first.Resume(); err != nil {
		t.Fatal(err)
	}
	ended := <-original
	retried := order(t.Context(), second, interrupted)
	if ended.outcome == "ran" && retried.body != ended.body {
		t.Errorf("the retry got %+v, want the response of the first call %+v", retried, ended)
	}
	checkAtMostOnce(t, shop)
}

// An entry is killed while an order runs. Retries must not run the order a second time,
// neither through another entry nor through the restarted one.
func TestOrderOfAKilledEntryRunsOnce(t *testing.T) {
	_, shop, first, second := startShop(t)
	interrupted := newOperation(t, first, 1)
	original := make(chan response, 1)
	go func() { original <- order(t.Context(), first, interrupted) }()
	waitForRuns(t, shop, 1)
	first.Kill()
	if got := <-original; got.err == nil {
		t.Errorf("the caller of the killed entry got %+v, want an error", got)
	}
	for range 3 {
		if retry := order(t.Context(), second, interrupted); retry.outcome != "unknown" {
			t.Errorf("retry: got %+v, want outcome unknown", retry)
		}
	}
	checkAtMostOnce(t, shop)
	if err := first.Restart(); err != nil {
		t.Fatal(err)
	}
	waitUntilServing(t, first)
	if retry := order(t.Context(), first, interrupted); retry.outcome != "unknown" {
		t.Errorf("retry at the restarted entry: got %+v, want outcome unknown", retry)
	}
	checkAtMostOnce(t, shop)
}

// slowBody is a request body that sends one byte at a time and closes started after the first.
type slowBody struct {
	remaining int
	started   chan struct{}
	once      sync.Once
}

func (b *slowBody) Read(p []byte) (int, error) {
	if b.remaining == 0 {
		return 0, io.EOF
	}
	b.remaining--
	time.Sleep(50 * time.Millisecond)
	p[0] = 'x'
	b.once.Do(func() { close(b.started) })
	return 1, nil
}

// An entry shuts down gracefully during an order and a long upload. Both must complete,
// and a retry through another entry must get the order's outcome from the seal, the
// final record of the stopped entry's operations.
func TestLeavingEntryCutsNothingAndLeavesItsSeal(t *testing.T) {
	_, shop, first, second := startShop(t)
	interrupted, neverSent := newOperation(t, first, 1), newOperation(t, first, 2)
	orders, uploads := make(chan response, 1), make(chan response, 1)
	scan := &slowBody{remaining: 60, started: make(chan struct{})}
	go func() { orders <- order(t.Context(), first, interrupted) }()
	go func() {
		uploads <- exchange(t.Context(), first, "PUT", "intake.glazenpot.example", "/scans/7", nil, scan)
	}()
	waitForRuns(t, shop, 1)
	<-scan.started
	if err := first.StartShutdown(); err != nil {
		t.Fatal(err)
	}
	if got := <-orders; got.status != http.StatusOK || got.outcome != "ran" {
		t.Errorf("order: got %+v, want status 200 and outcome ran", got)
	}
	if got := <-uploads; got.status != http.StatusOK || !strings.Contains(got.body, `"length":60`) {
		t.Errorf("upload: got %+v, want status 200 and length 60", got)
	}
	<-first.Ended()
	if first.ExitCode() != 0 {
		t.Errorf("got exit code %d, want 0", first.ExitCode())
	}
	if retry := order(t.Context(), second, interrupted); retry.outcome != "ran" {
		t.Errorf("retry of the order: got %+v, want outcome ran", retry)
	}
	if late := order(t.Context(), second, neverSent); late.outcome != "not-run" {
		t.Errorf("order that was never sent before: got %+v, want outcome not-run", late)
	}
	checkAtMostOnce(t, shop)
}

// An entry shuts down gracefully while it runs an order that another entry forwarded to
// it. The order must complete.
func TestLeavingEntryEndsTheOrdersOfOtherEntries(t *testing.T) {
	_, shop, first, second := startShop(t)
	interrupted := newOperation(t, first, 1)
	orders := make(chan response, 1)
	go func() { orders <- orderTaking(t.Context(), second, interrupted, 3*orderTime) }()
	waitForRuns(t, shop, 1)
	if err := first.StartShutdown(); err != nil {
		t.Fatal(err)
	}
	if got := <-orders; got.status != http.StatusOK || got.outcome != "ran" {
		t.Errorf("order: got %+v, want status 200 and outcome ran", got)
	}
	<-first.Ended()
	if first.ExitCode() != 0 {
		t.Errorf("got exit code %d, want 0", first.ExitCode())
	}
	checkAtMostOnce(t, shop)
}

// addressTTL is how long callers may use an address that they got from an entry.
const addressTTL = 3 * time.Second

// callInterval is the pause between the calls to an entry in shutdown. It keeps them
// within the entry's share of the global limits.
const callInterval = 20 * time.Millisecond

// An entry in graceful shutdown serves new and idle connections for as long as callers
// may still use its address.
func TestLeavingEntryServesKeptAddressesAndConnections(t *testing.T) {
	f := startFleet(t, 0)
	f.AddressTTL = addressTTL
	first := startEntry(t, f, "entry-0")
	waitUntilServing(t, first)
	if lookup(t, first) != http.StatusOK { // leaves an idle connection for reuse
		t.Fatal("the entry does not serve before its shutdown")
	}
	if err := first.StartShutdown(); err != nil {
		t.Fatal(err)
	}
	for end := time.Now().Add(addressTTL / 3); time.Now().Before(end); {
		reused := lookup(t, first)
		newConn := exchange(t.Context(), first, "GET", "shop.glazenpot.example", "/kits", nil, nil)
		if reused != http.StatusOK || newConn.status != http.StatusOK {
			t.Fatalf("got status %d on the reused connection and %+v on a new one, want 200 on both", reused, newConn)
		}
		time.Sleep(callInterval)
	}
}

// A backend server runs an order and closes the connection without a response. The
// outcome must stay unknown, also for retries through any entry.
func TestHangUpOfAServerIsUnknownForEver(t *testing.T) {
	_, shop, first, second := startShop(t)
	shop.SetFaults(backend.Faults{CloseWithoutResponse: true})
	interrupted := newOperation(t, first, 1)
	for _, e := range []*proctest.Entry{first, second, first} {
		if got := order(t.Context(), e, interrupted); got.outcome != "unknown" {
			t.Errorf("through %s: got %+v, want outcome unknown", e.VM.Name, got)
		}
		shop.SetFaults(backend.Faults{})
	}
	if shop.Runs().Operations[interrupted] != 1 {
		t.Errorf("the order ran %d times, want once", shop.Runs().Operations[interrupted])
	}
}
