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
	// orderTime is the service time of an order that is caught in the middle.
	orderTime = time.Second
	// startTimeout bounds the wait for something to have begun.
	startTimeout = 10 * time.Second
)

// answer is what a caller got; status is zero where the connection broke.
type answer struct {
	status  int
	outcome string
	body    string
	err     error
}

// newOperation takes a ticket of the entry for the n-th operation of a test.
func newOperation(t *testing.T, e *proctest.Entry, n int) string {
	t.Helper()
	report, err := e.Status()
	if err != nil {
		t.Fatal(err)
	}
	return fmt.Sprintf("%s:%d.%032x", report.Incarnation, 0, n)
}

// order sends an order through an entry on a connection of its own.
func order(ctx context.Context, e *proctest.Entry, operation string) answer {
	return orderFor(ctx, e, operation, orderTime)
}

// orderFor sends an order that takes its server that long.
func orderFor(ctx context.Context, e *proctest.Entry, operation string, service time.Duration) answer {
	header := http.Header{wire.HeaderOperation: {operation}, backend.HeaderServiceTime: {service.String()}}
	return exchange(ctx, e, "POST", "shop.glazenpot.example", "/orders", header, strings.NewReader("kit 7"))
}

func exchange(ctx context.Context, e *proctest.Entry, method, host, path string, header http.Header, body io.Reader) answer {
	client := &http.Client{Transport: &http.Transport{}}
	defer client.CloseIdleConnections()
	req, err := http.NewRequestWithContext(ctx, method, "http://"+e.VM.Address+path, body)
	if err != nil {
		return answer{err: err}
	}
	req.Host = host
	req.Header.Set(wire.HeaderTimeoutMs, "8000")
	maps.Copy(req.Header, header)
	req.Header.Set(wire.HeaderCaller, "anna")
	resp, err := client.Do(req)
	if err != nil {
		return answer{err: err}
	}
	defer resp.Body.Close()
	text, err := io.ReadAll(resp.Body)
	return answer{resp.StatusCode, resp.Header.Get(wire.HeaderOutcome), string(text), err}
}

// begun waits until the shop's server has run that many operations.
func begun(t *testing.T, shop *backend.Server, n int) {
	t.Helper()
	err := proctest.Until(t.Context(), startTimeout, func() bool { return len(shop.Runs().Operations) >= n })
	if err != nil {
		t.Fatalf("%d operations begun, want %d", len(shop.Runs().Operations), n)
	}
}

// taken waits until the entry has that many requests in progress.
func taken(t *testing.T, e *proctest.Entry, n int64) {
	t.Helper()
	err := proctest.Until(t.Context(), startTimeout, func() bool { return mustStatus(t, e.Status).InFlight >= n })
	if err != nil {
		t.Fatalf("%s did not take %d requests", e.VM.Name, n)
	}
}

// atMostOnce fails the test where an operation ran twice.
func atMostOnce(t *testing.T, shop *backend.Server) {
	t.Helper()
	for operation, runs := range shop.Runs().Operations {
		if runs > 1 {
			t.Errorf("operation %s ran %d times", operation, runs)
		}
	}
}

// startShop returns a fleet with two entries and the one server of the shop.
func startShop(t *testing.T) (f *proctest.Fleet, shop *backend.Server, first, second *proctest.Entry) {
	f = startFleet(t, 0)
	f.RemoveVM("server-0")
	shop = f.StartLocalServer("shop", "zone-a", "glazenpot/shop", backend.Options{})
	first, second = startEntry(t, f, "entry-0"), startEntry(t, f, "entry-1")
	serving(t, first)
	serving(t, second)
	return f, shop, first, second
}

// serving waits until the entry has its share of the voted limits and serves.
func serving(t *testing.T, e *proctest.Entry) {
	t.Helper()
	err := proctest.Until(t.Context(), startTimeout, func() bool {
		return exchange(t.Context(), e, "GET", "shop.glazenpot.example", "/kits", nil, nil).status == http.StatusOK
	})
	if err != nil {
		t.Fatalf("%s does not serve", e.VM.Name)
	}
}

// An entry freezes after it took an order and before it sent it: three orders
// hold all slots that it sees, so the fourth waits in its queue.
func TestOrderOfAFrozenEntryRunsOnce(t *testing.T) {
	_, shop, first, second := startShop(t)
	var calls sync.WaitGroup
	for n := range 3 {
		calls.Go(func() { order(t.Context(), first, newOperation(t, first, n)) })
	}
	begun(t, shop, 3)
	caught := newOperation(t, first, 3)
	var own answer
	calls.Go(func() { own = order(t.Context(), first, caught) })
	taken(t, first, 4)
	if err := first.Pause(); err != nil {
		t.Fatal(err)
	}
	repeat := order(t.Context(), second, caught)
	if repeat.outcome != "unknown" || shop.Runs().Operations[caught] != 0 {
		t.Errorf("repeat while frozen: %+v after %d runs", repeat, shop.Runs().Operations[caught])
	}
	if err := first.Resume(); err != nil {
		t.Fatal(err)
	}
	calls.Wait()
	again := order(t.Context(), second, caught)
	if own.outcome == "ran" && again.body != own.body {
		t.Errorf("the repeat got %+v, the first call %+v", again, own)
	}
	atMostOnce(t, shop)
}

// An entry is killed while an order runs.
func TestOrderOfAKilledEntryRunsOnce(t *testing.T) {
	_, shop, first, second := startShop(t)
	caught := newOperation(t, first, 1)
	own := make(chan answer, 1)
	go func() { own <- order(t.Context(), first, caught) }()
	begun(t, shop, 1)
	first.Kill()
	if a := <-own; a.err == nil {
		t.Errorf("the caller of the killed entry got %+v", a)
	}
	for range 3 {
		if repeat := order(t.Context(), second, caught); repeat.outcome != "unknown" {
			t.Errorf("repeat: %+v", repeat)
		}
	}
	atMostOnce(t, shop)
	if err := first.Restart(); err != nil {
		t.Fatal(err)
	}
	serving(t, first)
	if repeat := order(t.Context(), first, caught); repeat.outcome != "unknown" {
		t.Errorf("repeat at the restarted entry: %+v", repeat)
	}
	atMostOnce(t, shop)
}

// slowBody sends a byte at a time and closes begun after the first.
type slowBody struct {
	left  int
	begun chan struct{}
	once  sync.Once
}

func (b *slowBody) Read(p []byte) (int, error) {
	if b.left == 0 {
		return 0, io.EOF
	}
	b.left--
	time.Sleep(50 * time.Millisecond)
	p[0] = 'x'
	b.once.Do(func() { close(b.begun) })
	return 1, nil
}

// An entry leaves gracefully in the middle of an order and of a long upload: both
// end whole, and a repeat learns from the seal what the order came to.
func TestLeavingEntryCutsNothingAndLeavesItsSeal(t *testing.T) {
	_, shop, first, second := startShop(t)
	caught, unseen := newOperation(t, first, 1), newOperation(t, first, 2)
	orders, uploads := make(chan answer, 1), make(chan answer, 1)
	photo := &slowBody{left: 60, begun: make(chan struct{})}
	go func() { orders <- order(t.Context(), first, caught) }()
	go func() {
		uploads <- exchange(t.Context(), first, "PUT", "intake.glazenpot.example", "/scans/7", nil, photo)
	}()
	begun(t, shop, 1)
	<-photo.begun
	if err := first.StartShutdown(); err != nil {
		t.Fatal(err)
	}
	if a := <-orders; a.status != http.StatusOK || a.outcome != "ran" {
		t.Errorf("order: %+v", a)
	}
	if a := <-uploads; a.status != http.StatusOK || !strings.Contains(a.body, `"length":60`) {
		t.Errorf("upload: %+v", a)
	}
	<-first.Ended()
	if first.ExitCode() != 0 {
		t.Errorf("exit code %d", first.ExitCode())
	}
	if repeat := order(t.Context(), second, caught); repeat.outcome != "ran" {
		t.Errorf("repeat of the order: %+v", repeat)
	}
	if late := order(t.Context(), second, unseen); late.outcome != "not-run" {
		t.Errorf("order that never arrived: %+v", late)
	}
	atMostOnce(t, shop)
}

// An entry leaves while it runs an order that another entry passed on.
func TestLeavingEntryEndsTheOrdersOfOtherEntries(t *testing.T) {
	_, shop, first, second := startShop(t)
	caught := newOperation(t, first, 1)
	orders := make(chan answer, 1)
	go func() { orders <- orderFor(t.Context(), second, caught, 3*orderTime) }()
	begun(t, shop, 1)
	if err := first.StartShutdown(); err != nil {
		t.Fatal(err)
	}
	if a := <-orders; a.status != http.StatusOK || a.outcome != "ran" {
		t.Errorf("order: %+v", a)
	}
	<-first.Ended()
	if first.ExitCode() != 0 {
		t.Errorf("exit code %d", first.ExitCode())
	}
	atMostOnce(t, shop)
}

// keptAddress is the time for which callers keep addresses in the test of leaving.
const keptAddress = 3 * time.Second

// leavingPace is the pause between the calls to a leaving entry, so that they stay
// within its share of the voted limits.
const leavingPace = 20 * time.Millisecond

// While callers may still hold its address, a leaving entry serves new
// connections and kept ones.
func TestLeavingEntryServesKeptAddressesAndConnections(t *testing.T) {
	f := startFleet(t, 0)
	f.AddressTTL = keptAddress
	first := startEntry(t, f, "entry-0")
	serving(t, first)
	if lookup(t, first) != http.StatusOK { // leaves a kept connection behind
		t.Fatal("entry does not serve")
	}
	if err := first.StartShutdown(); err != nil {
		t.Fatal(err)
	}
	for end := time.Now().Add(keptAddress / 3); time.Now().Before(end); {
		kept := lookup(t, first)
		fresh := exchange(t.Context(), first, "GET", "shop.glazenpot.example", "/kits", nil, nil)
		if kept != http.StatusOK || fresh.status != http.StatusOK {
			t.Fatalf("kept connection %d, new connection %+v", kept, fresh)
		}
		time.Sleep(leavingPace)
	}
}

// A backend server that runs an order and hangs up leaves it unknown, also for
// repeats through any entry.
func TestHangUpOfAServerIsUnknownForEver(t *testing.T) {
	_, shop, first, second := startShop(t)
	shop.SetFaults(backend.Faults{CloseWithoutResponse: true})
	caught := newOperation(t, first, 1)
	for _, e := range []*proctest.Entry{first, second, first} {
		if a := order(t.Context(), e, caught); a.outcome != "unknown" {
			t.Errorf("through %s: %+v", e.VM.Name, a)
		}
		shop.SetFaults(backend.Faults{})
	}
	if shop.Runs().Operations[caught] != 1 {
		t.Errorf("%d runs", shop.Runs().Operations[caught])
	}
}
