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
	// snapshotRounds is after how many rounds the log expires.
	snapshotRounds = 10
)

// racer is one operator with a directory of its own.
type racer struct {
	name, dir string
	control   *Client
}

// TestRacesHaveOneWinner lets two operators publish the same branch from the
// same revision at once.
func TestRacesHaveOneWinner(t *testing.T) {
	b := newBench(t)
	keepOneService(t, b.dir)
	b.run(ExitOK, "glazenpot/ann", "publish", b.dir)
	base := int64(1)
	var racers []racer
	for _, name := range []string{"glazenpot/ann", "glazenpot/bob"} {
		client := logservice.NewClient([]string{b.endpoint}, logservice.Options{ClientName: name})
		defer client.Close()
		racers = append(racers, racer{name: name, dir: copyOf(t, b.dir), control: &Client{Log: client, VMs: client, Publisher: name, Timeout: time.Minute}})
	}
	observer := newReader(racers[0].control.Log)
	from := "2000"
	for round := range races {
		winner, text := race(t, racers, base, round, from)
		if err := observer.catchUp(t.Context()); err != nil {
			t.Fatal(err)
		}
		f, _ := observer.state.Branch("/glazenpot/shop")
		if f.Publisher != winner.name || f.Revision != base+1 {
			t.Fatalf("round %d: %s won, in force is revision %d by %s", round, winner.name, f.Revision, f.Publisher)
		}
		base = f.Revision
		from = text
		if round%snapshotRounds == 0 {
			expire(t, b, observer)
		}
		for _, r := range racers {
			writeBack(t, r.dir, f.Content)
		}
	}
}

// race publishes both changes at once and returns the winner and its value.
func race(t *testing.T, racers []racer, base int64, round int, from string) (winner racer, text string) {
	t.Helper()
	type answer struct {
		racer  racer
		text   string
		result *PublishResult
		err    error
	}
	answers := make(chan answer)
	for i, r := range racers {
		to := fmt.Sprint(1000 + round*10 + i)
		edit(t, r.dir, "glazenpot/shop", `"timeout_ms": `+from, `"timeout_ms": `+to)
		go func() {
			result, err := r.control.Publish(t.Context(), PublishOptions{Directory: r.dir, Branch: "/glazenpot/shop", Base: base})
			answers <- answer{r, to, result, err}
		}()
	}
	winners := 0
	for range racers {
		a := <-answers
		var refused *RefusedError
		switch {
		case a.err == nil:
			winners++
			winner, text = a.racer, a.text
		case !errors.As(a.err, &refused):
			t.Fatal(a.err)
		default:
			d := a.result.Decisions[0]
			if d.Outcome != statemachine.Conflict || d.Winner.Publisher == a.racer.name || len(d.Winner.Changes) != 1 {
				t.Fatalf("round %d: the loser was told %+v %+v", round, d, d.Winner)
			}
		}
	}
	if winners != 1 {
		t.Fatalf("round %d: %d winners", round, winners)
	}
	return winner, text
}

// expire appends a snapshot and lets the log drop the records that it covers.
func expire(t *testing.T, b *bench, observer *reader) {
	t.Helper()
	data, err := json.Marshal(observer.state)
	if err != nil {
		t.Fatal(err)
	}
	if _, err := observer.log.Append(t.Context(), logservice.StreamSnapshots, data); err != nil {
		t.Fatal(err)
	}
	b.platform.Expire(logservice.StreamConfig, observer.state.Offset()+1)
}

// keepOneService keeps the tree small, as each publish folds the whole log.
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
