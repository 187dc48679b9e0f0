package ctl

import (
	"errors"
	"fmt"
	"testing"
	"time"

	"chestnutrouter.example/chestnutrouter/internal/fold"
	"chestnutrouter.example/chestnutrouter/internal/platform"
)

const races = 100

// racer is one operator with a directory of its own.
type racer struct {
	name, dir string
	control   *Control
}

// TestRacesHaveOneWinner lets two operators publish the same branch from the
// same revision at once.
func TestRacesHaveOneWinner(t *testing.T) {
	b := newBench(t)
	b.run(CodeDone, "glazenpot/ann", "publish", b.dir)
	base := int64(1)
	var racers []racer
	for _, name := range []string{"glazenpot/ann", "glazenpot/bob"} {
		client := platform.NewHTTP([]string{b.endpoint}, platform.Options{Client: name})
		defer client.Close()
		racers = append(racers, racer{name: name, dir: copyTree(t), control: &Control{Log: client, VMs: client, Publisher: name, Timeout: time.Minute}})
	}
	from := "2000"
	for round := range races {
		winner, text := race(t, racers, base, round, from)
		s, err := racers[0].control.load(t.Context())
		if err != nil {
			t.Fatal(err)
		}
		f, _ := s.state.Branch("/glazenpot/shop")
		if f.Publisher != winner.name || f.Revision != base+1 {
			t.Fatalf("round %d: %s won, in force is revision %d by %s", round, winner.name, f.Revision, f.Publisher)
		}
		base = f.Revision
		from = text
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
			if d.Outcome != fold.Conflict || d.Winner.Publisher == a.racer.name || len(d.Winner.Changes) != 1 {
				t.Fatalf("round %d: the loser was told %+v %+v", round, d, d.Winner)
			}
		}
	}
	if winners != 1 {
		t.Fatalf("round %d: %d winners", round, winners)
	}
	return winner, text
}

func writeBack(t *testing.T, dir, content string) {
	t.Helper()
	if err := writeBranch(dir, "/glazenpot/shop", content); err != nil {
		t.Fatal(err)
	}
}
