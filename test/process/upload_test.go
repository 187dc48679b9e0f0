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

// uploadPause is how long a process is paused during an upload.
const uploadPause = time.Second

// pausable is an entry or a server process.
type pausable interface {
	Pause() error
	Resume() error
}

// upload starts a slow upload of size bytes through an entry. It returns a channel that
// is closed after the first byte, and one that gets the response.
func upload(ctx context.Context, e *proctest.Entry, size int) (started <-chan struct{}, ended <-chan response) {
	scan := &slowBody{remaining: size, started: make(chan struct{})}
	responses := make(chan response, 1)
	go func() {
		responses <- exchange(ctx, e, "PUT", "intake.glazenpot.example", "/scans/7", nil, scan)
	}()
	return scan.started, responses
}

// An upload must complete although the entry or the server that handles it is paused
// for a while.
func TestUploadOutlivesAPause(t *testing.T) {
	const size = 30
	_, server, first, _ := startShopProcess(t)
	for _, paused := range []pausable{first, server} {
		started, ended := upload(t.Context(), first, size)
		<-started
		if err := paused.Pause(); err != nil {
			t.Fatal(err)
		}
		time.Sleep(uploadPause)
		if err := paused.Resume(); err != nil {
			t.Fatal(err)
		}
		if got := <-ended; got.status != http.StatusOK || !strings.Contains(got.body, fmt.Sprintf(`"length":%d`, size)) {
			t.Errorf("upload during a pause of %T: got %+v, want status 200 and the full length", paused, got)
		}
	}
}

// An entry is killed during an upload. The server must not take the truncated upload for
// a complete one and run it.
func TestUploadOfAKilledEntryDoesNotRun(t *testing.T) {
	f := startFleet(t, 0)
	f.RemoveVM("server-1")
	intake := f.StartLocalServer("intake", "zone-a", "glazenpot/intake", backend.Options{})
	first := startEntry(t, f, "entry-0")
	waitUntilServing(t, first)
	_, complete := upload(t.Context(), first, 1)
	if got := <-complete; got.status != http.StatusOK {
		t.Fatalf("complete upload: got %+v, want status 200", got)
	}
	started, ended := upload(t.Context(), first, 100)
	<-started
	waitForInFlight(t, first, 1)
	first.Kill()
	if got := <-ended; got.err == nil {
		t.Errorf("upload through the killed entry: got %+v, want an error", got)
	}
	if n := intake.Runs().Total; n != 1 {
		t.Errorf("the server ran %d uploads, want only the complete one", n)
	}
}

// A second signal ends an entry in graceful shutdown immediately. The entry must log how
// many requests it lost and exit with an error.
func TestSecondSignalEndsTheEntryWithItsLossesLogged(t *testing.T) {
	_, shop, first, second := startShop(t)
	interrupted := newOperation(t, first, 1)
	original := make(chan response, 1)
	go func() { original <- orderTaking(t.Context(), first, interrupted, 5*time.Second) }()
	waitForRuns(t, shop, 1)
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
		t.Errorf("got exit code %d, log %s, error %v; want a nonzero code and one lost request in the log", first.ExitCode(), log, err)
	}
	if got := <-original; got.err == nil {
		t.Errorf("order: got %+v, want an error", got)
	}
	if got := order(t.Context(), second, interrupted); got.outcome != "unknown" {
		t.Errorf("retry: got %+v, want outcome unknown", got)
	}
	checkAtMostOnce(t, shop)
}
