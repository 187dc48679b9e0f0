package process_test

import (
	"context"
	"fmt"
	"net/http"
	"os"
	"strings"
	"testing"
	"time"

	"chestnutrouter.example/chestnutrouter/internal/proctest"
	"chestnutrouter.example/chestnutrouter/standin/backend"
)

// frozenFor is how long a process stands still in the middle of an upload.
const frozenFor = time.Second

// freezable is an entry or a server.
type freezable interface {
	Pause() error
	Resume() error
}

// upload sends that many bytes slowly through an entry.
func upload(ctx context.Context, e *proctest.Entry, size int) (started <-chan struct{}, ended <-chan answer) {
	photo := &slowBody{left: size, begun: make(chan struct{})}
	answers := make(chan answer, 1)
	go func() {
		answers <- exchange(ctx, e, "PUT", "intake.glazenpot.example", "/scans/7", nil, photo)
	}()
	return photo.begun, answers
}

// An upload outlives a pause of the entry and of the server that carry it.
func TestUploadOutlivesAPause(t *testing.T) {
	const size = 30
	_, server, first, _ := startServer(t)
	for _, paused := range []freezable{first, server} {
		started, ended := upload(t.Context(), first, size)
		<-started
		if err := paused.Pause(); err != nil {
			t.Fatal(err)
		}
		time.Sleep(frozenFor)
		if err := paused.Resume(); err != nil {
			t.Fatal(err)
		}
		if a := <-ended; a.status != http.StatusOK || !strings.Contains(a.body, fmt.Sprintf(`"length":%d`, size)) {
			t.Errorf("upload over a pause of %T: %+v", paused, a)
		}
	}
}

// An upload that its entry's death cuts off does not look whole to the server.
func TestUploadOfAKilledEntryDoesNotRun(t *testing.T) {
	f := startFleet(t, 0)
	f.RemoveVM("server-1")
	intake := f.StartLocalServer("intake", "zone-a", "glazenpot/intake", backend.Options{})
	first := startEntry(t, f, "entry-0")
	serving(t, first)
	_, whole := upload(t.Context(), first, 1)
	if a := <-whole; a.status != http.StatusOK {
		t.Fatalf("whole upload: %+v", a)
	}
	started, ended := upload(t.Context(), first, 100)
	<-started
	taken(t, first, 1)
	first.Kill()
	if a := <-ended; a.err == nil {
		t.Errorf("upload: %+v", a)
	}
	if n := intake.Runs().Total; n != 1 {
		t.Errorf("the server ran %d uploads, want the whole one", n)
	}
}

// A second signal ends a leaving entry at once, with its losses logged.
func TestSecondSignalEndsTheEntryWithItsLossesLogged(t *testing.T) {
	_, shop, first, second := startShop(t)
	caught := newOperation(t, first, 1)
	own := make(chan answer, 1)
	go func() { own <- orderFor(t.Context(), first, caught, 5*time.Second) }()
	begun(t, shop, 1)
	if err := first.StartShutdown(); err != nil {
		t.Fatal(err)
	}
	err := proctest.Until(t.Context(), startTimeout, func() bool { return mustStatus(t, first.Status).Draining })
	if err != nil {
		t.Fatal(err)
	}
	if err := first.StartShutdown(); err != nil {
		t.Fatal(err)
	}
	<-first.Ended()
	log, err := os.ReadFile(first.LogFile())
	if err != nil || first.ExitCode() == 0 || !strings.Contains(string(log), `"requests_lost":1`) {
		t.Errorf("exit code %d, log %s, %v", first.ExitCode(), log, err)
	}
	if a := <-own; a.err == nil {
		t.Errorf("order: %+v", a)
	}
	if a := order(t.Context(), second, caught); a.outcome != "unknown" {
		t.Errorf("repeat: %+v", a)
	}
	atMostOnce(t, shop)
}
