package ctl

import (
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"testing"
	"time"

	"chestnutrouter.example/chestnutrouter/internal/logservice"
	"chestnutrouter.example/chestnutrouter/internal/statemachine"
)

const (
	races = 100
	// snapshotRounds is the number of rounds between two expirations of the log.
	snapshotRounds = 10
)

// racer is an operator with its own directory.
type racer struct {
	name, dir string
	client    *Client
}

// TestRacesHaveOneWinner has two operators publish the same branch from the same
// revision concurrently. Exactly one of them may succeed.
func TestRacesHaveOneWinner(t *testing.T) {
	h := newHarness(t)
	keepOneService(t, h.dir)
	h.run(ExitOK, "glazenpot/ann", "publish", h.dir)
	base := int64(1)
	var racers []racer
	for _, name := range []string{"glazenpot/ann", "glazenpot/bob"} {
		client := logservice.NewClient([]string{h.endpoint}, logservice.Options{ClientName: name})
		defer client.Close()
		racers = append(racers, racer{name: name, dir: copyDirectory(t, h.dir), client: &Client{Log: client, VMs: client, Publisher: name, Timeout: time.Minute}})
	}
	replayer := newLogReplayer(racers[0].client.Log)
	from := "2000"
	for round := range races {
		winner, value := race(t, racers, base, round, from)
		if err := replayer.catchUp(t.Context()); err != nil {
			t.Fatal(err)
		}
		active, _ := replayer.state.Branch("/glazenpot/shop")
		if active.Publisher != winner.name || active.Revision != base+1 {
			t.Fatalf("round %d: %s won, but revision %d by %s is active", round, winner.name, active.Revision, active.Publisher)
		}
		base = active.Revision
		from = value
		if round%snapshotRounds == 0 {
			expire(t, h, replayer)
		}
		for _, r := range racers {
			writeBack(t, r.dir, active.Content)
		}
	}
}

// race publishes one change per racer concurrently. It returns the winner and the
// value that the winner published.
func race(t *testing.T, racers []racer, base int64, round int, from string) (winner racer, value string) {
	t.Helper()
	type publishOutcome struct {
		racer  racer
		value  string
		result *PublishResult
		err    error
	}
	outcomes := make(chan publishOutcome)
	for i, r := range racers {
		to := fmt.Sprint(1000 + round*10 + i)
		replaceInBranch(t, r.dir, "glazenpot/shop", `"timeout_ms": `+from, `"timeout_ms": `+to)
		go func() {
			result, err := r.client.Publish(t.Context(), PublishOptions{Directory: r.dir, Branch: "/glazenpot/shop", Base: base})
			outcomes <- publishOutcome{r, to, result, err}
		}()
	}
	winners := 0
	for range racers {
		a := <-outcomes
		var refused *RefusedError
		switch {
		case a.err == nil:
			winners++
			winner, value = a.racer, a.value
		case !errors.As(a.err, &refused):
			t.Fatal(a.err)
		default:
			d := a.result.Decisions[0]
			if d.Outcome != statemachine.Conflict || d.Winner.Publisher == a.racer.name || len(d.Winner.Changes) != 1 {
				t.Fatalf("round %d: the loser got decision %+v with winner %+v, want a conflict with the one change of the other racer", round, d, d.Winner)
			}
		}
	}
	if winners != 1 {
		t.Fatalf("round %d: %d winners, want 1", round, winners)
	}
	return winner, value
}

// expire appends a snapshot and expires the records of the log that it covers.
func expire(t *testing.T, h *harness, replayer *logReplayer) {
	t.Helper()
	data, err := json.Marshal(replayer.state)
	if err != nil {
		t.Fatal(err)
	}
	if _, err := replayer.log.Append(t.Context(), logservice.StreamSnapshots, data); err != nil {
		t.Fatal(err)
	}
	h.platform.Expire(logservice.StreamConfig, replayer.state.Offset()+1)
}

// keepOneService removes all services but one, because each publish replays the
// whole log.
func keepOneService(t *testing.T, dir string) {
	t.Helper()
	for _, branch := range []string{"tabloblan", "glazenpot/intake"} {
		if err := os.RemoveAll(filepath.Join(dir, branch)); err != nil {
			t.Fatal(err)
		}
	}
}

func writeBack(t *testing.T, dir, content string) {
	t.Helper()
	if err := writeBranch(dir, "/glazenpot/shop", content); err != nil {
		t.Fatal(err)
	}
}
