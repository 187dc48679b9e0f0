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

// startServer returns a fleet whose shop has one server, a process of its own.
func startServer(t *testing.T) (f *proctest.Fleet, server *proctest.ServerProcess, first, second *proctest.Entry) {
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
	serving(t, first)
	serving(t, second)
	return f, server, first, second
}

// runsOf asks a server process how often it ran an operation.
func runsOf(t *testing.T, s *proctest.ServerProcess, operation string) int {
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

func awaitRun(t *testing.T, s *proctest.ServerProcess, operation string) {
	t.Helper()
	err := proctest.Until(t.Context(), startTimeout, func() bool { return runsOf(t, s, operation) == 1 })
	if err != nil {
		t.Fatal("the order did not begin")
	}
}

// A server is killed in the middle of an order: no other server gets the order.
func TestOrderOfAKilledServerGoesNowhereElse(t *testing.T) {
	f, server, first, second := startServer(t)
	caught := newOperation(t, first, 1)
	own := make(chan answer, 1)
	go func() { own <- order(t.Context(), first, caught) }()
	awaitRun(t, server, caught)
	other := f.StartLocalServer("shop-b", "zone-a", "glazenpot/shop", backend.Options{})
	server.Kill()
	if a := <-own; a.outcome != "unknown" {
		t.Errorf("order: %+v", a)
	}
	for _, e := range []*proctest.Entry{first, second} {
		if a := order(t.Context(), e, caught); a.outcome != "unknown" {
			t.Errorf("repeat through %s: %+v", e.VM.Name, a)
		}
	}
	if n := other.Runs().Operations[caught]; n != 0 {
		t.Errorf("the other server ran it %d times", n)
	}
}

// A server is frozen in the middle of an order until the deadline has passed.
func TestOrderOfAFrozenServerRunsOnce(t *testing.T) {
	f, server, first, second := startServer(t)
	caught := newOperation(t, first, 1)
	own := make(chan answer, 1)
	go func() {
		header := http.Header{
			wire.HeaderOperation: {caught}, wire.HeaderTimeoutMs: {"3000"}, backend.HeaderServiceTime: {orderTime.String()},
		}
		own <- exchange(t.Context(), first, "POST", "shop.glazenpot.example", "/orders", header, strings.NewReader("kit 7"))
	}()
	awaitRun(t, server, caught)
	other := f.StartLocalServer("shop-b", "zone-a", "glazenpot/shop", backend.Options{})
	if err := server.Pause(); err != nil {
		t.Fatal(err)
	}
	if a := <-own; a.outcome != "unknown" || a.status != http.StatusGatewayTimeout {
		t.Errorf("order: %+v", a)
	}
	if err := server.Resume(); err != nil {
		t.Fatal(err)
	}
	if a := order(t.Context(), second, caught); a.outcome != "unknown" {
		t.Errorf("repeat: %+v", a)
	}
	if n := runsOf(t, server, caught) + other.Runs().Operations[caught]; n != 1 {
		t.Errorf("%d runs", n)
	}
}

// A server shuts down gracefully in the middle of an order and of an upload.
func TestStoppingServerCutsNothing(t *testing.T) {
	_, server, first, _ := startServer(t)
	caught := newOperation(t, first, 1)
	orders, uploads := make(chan answer, 1), make(chan answer, 1)
	photo := &slowBody{left: 30, begun: make(chan struct{})}
	go func() {
		uploads <- exchange(t.Context(), first, "PUT", "intake.glazenpot.example", "/scans/7", nil, photo)
	}()
	<-photo.begun
	go func() { orders <- orderFor(t.Context(), first, caught, 2*time.Second) }()
	awaitRun(t, server, caught)
	server.Stop()
	if a := <-orders; a.status != http.StatusOK || a.outcome != "ran" {
		t.Errorf("order: %+v", a)
	}
	if a := <-uploads; a.status != http.StatusOK || !strings.Contains(a.body, `"length":30`) {
		t.Errorf("upload: %+v", a)
	}
}

// A server is killed in the middle of an upload: the upload is idempotent, but
// its bytes are gone, so the caller hears that the outcome is unknown.
func TestUploadOfAKilledServerIsUnknown(t *testing.T) {
	_, server, first, _ := startServer(t)
	photo := &slowBody{left: 100, begun: make(chan struct{})}
	uploads := make(chan answer, 1)
	go func() {
		uploads <- exchange(t.Context(), first, "PUT", "intake.glazenpot.example", "/scans/7", nil, photo)
	}()
	<-photo.begun
	taken(t, first, 1)
	server.Kill()
	if a := <-uploads; a.err == nil && a.outcome != "unknown" {
		t.Errorf("upload: %+v", a)
	}
}
