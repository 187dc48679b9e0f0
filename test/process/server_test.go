package process_test

import (
	"encoding/json"
	"net/http"
	"strings"
	"testing"
	"time"

	"chestnutrouter.example/chestnutrouter/internal/proctest"
	"chestnutrouter.example/chestnutrouter/internal/wire"
	"chestnutrouter.example/chestnutrouter/standin/backend"
)

// startShopProcess returns a fleet with two entries, in which a single server process
// serves the shop and the intake.
func startShopProcess(t *testing.T) (f *proctest.Fleet, server *proctest.ServerProcess, first, second *proctest.Entry) {
	t.Helper()
	f = startFleet(t, 0)
	f.RemoveVM("server-0")
	f.RemoveVM("server-1")
	server, err := f.StartServerProcess("shop-a", "zone-a", "glazenpot/shop")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(server.Kill)
	intake := server.VM
	intake.Name, intake.Service = "intake-a", "glazenpot/intake"
	f.PutVM(intake)
	first, second = startEntry(t, f, "entry-0"), startEntry(t, f, "entry-1")
	waitUntilServing(t, first)
	waitUntilServing(t, second)
	return f, server, first, second
}

// runCount asks a server process how often it ran an operation.
func runCount(t *testing.T, s *proctest.ServerProcess, operation string) int {
	t.Helper()
	resp, err := http.Get("http://" + s.VM.Address + "/admin/runs")
	if err != nil {
		t.Fatal(err)
	}
	defer resp.Body.Close()
	var runs backend.Runs
	if err := json.NewDecoder(resp.Body).Decode(&runs); err != nil {
		t.Fatal(err)
	}
	return runs.Operations[operation]
}

// waitForRun waits until the server has begun to run the operation.
func waitForRun(t *testing.T, s *proctest.ServerProcess, operation string) {
	t.Helper()
	err := proctest.Until(t.Context(), startTimeout, func() bool { return runCount(t, s, operation) == 1 })
	if err != nil {
		t.Fatal("the order did not begin to run")
	}
}

// A server is killed while it runs an order. No other server may get the order, since it
// may have run.
func TestOrderOfAKilledServerGoesNowhereElse(t *testing.T) {
	f, server, first, second := startShopProcess(t)
	interrupted := newOperation(t, first, 1)
	original := make(chan response, 1)
	go func() { original <- order(t.Context(), first, interrupted) }()
	waitForRun(t, server, interrupted)
	other := f.StartLocalServer("shop-b", "zone-a", "glazenpot/shop", backend.Options{})
	server.Kill()
	if got := <-original; got.outcome != "unknown" {
		t.Errorf("order: got %+v, want outcome unknown", got)
	}
	for _, e := range []*proctest.Entry{first, second} {
		if got := order(t.Context(), e, interrupted); got.outcome != "unknown" {
			t.Errorf("retry through %s: got %+v, want outcome unknown", e.VM.Name, got)
		}
	}
	if n := other.Runs().Operations[interrupted]; n != 0 {
		t.Errorf("the other server ran the order %d times, want none", n)
	}
}

// A server is paused while it runs an order, until the deadline has passed. The order
// must run only once, although the caller's outcome is unknown.
func TestOrderOfAFrozenServerRunsOnce(t *testing.T) {
	f, server, first, second := startShopProcess(t)
	interrupted := newOperation(t, first, 1)
	original := make(chan response, 1)
	go func() {
		header := http.Header{
			wire.HeaderOperation: {interrupted}, wire.HeaderTimeoutMs: {"3000"}, backend.HeaderServiceTime: {orderTime.String()},
		}
		original <- exchange(t.Context(), first, "POST", "shop.glazenpot.example", "/orders", header, strings.NewReader("kit 7"))
	}()
	waitForRun(t, server, interrupted)
	other := f.StartLocalServer("shop-b", "zone-a", "glazenpot/shop", backend.Options{})
	if err := server.Pause(); err != nil {
		t.Fatal(err)
	}
	if got := <-original; got.outcome != "unknown" || got.status != http.StatusGatewayTimeout {
		t.Errorf("order: got %+v, want status 504 and outcome unknown", got)
	}
	if err := server.Resume(); err != nil {
		t.Fatal(err)
	}
	if got := order(t.Context(), second, interrupted); got.outcome != "unknown" {
		t.Errorf("retry: got %+v, want outcome unknown", got)
	}
	if n := runCount(t, server, interrupted) + other.Runs().Operations[interrupted]; n != 1 {
		t.Errorf("the order ran %d times, want once", n)
	}
}

// A server shuts down gracefully during an order and an upload. Both must complete.
func TestStoppingServerCutsNothing(t *testing.T) {
	_, server, first, _ := startShopProcess(t)
	interrupted := newOperation(t, first, 1)
	orders, uploads := make(chan response, 1), make(chan response, 1)
	scan := &slowBody{remaining: 30, started: make(chan struct{})}
	go func() {
		uploads <- exchange(t.Context(), first, "PUT", "intake.glazenpot.example", "/scans/7", nil, scan)
	}()
	<-scan.started
	go func() { orders <- orderTaking(t.Context(), first, interrupted, 2*time.Second) }()
	waitForRun(t, server, interrupted)
	server.Stop()
	if got := <-orders; got.status != http.StatusOK || got.outcome != "ran" {
		t.Errorf("order: got %+v, want status 200 and outcome ran", got)
	}
	if got := <-uploads; got.status != http.StatusOK || !strings.Contains(got.body, `"length":30`) {
		t.Errorf("upload: got %+v, want status 200 and length 30", got)
	}
}

// A server is killed during an upload. The upload is idempotent, but the bytes already
// sent are not buffered for a retry, so the outcome is unknown.
func TestUploadOfAKilledServerIsUnknown(t *testing.T) {
	_, server, first, _ := startShopProcess(t)
	scan := &slowBody{remaining: 100, started: make(chan struct{})}
	uploads := make(chan response, 1)
	go func() {
		uploads <- exchange(t.Context(), first, "PUT", "intake.glazenpot.example", "/scans/7", nil, scan)
	}()
	<-scan.started
	waitForInFlight(t, first, 1)
	server.Kill()
	if got := <-uploads; got.err == nil && got.outcome != "unknown" {
		t.Errorf("upload: got %+v, want an error or outcome unknown", got)
	}
}
