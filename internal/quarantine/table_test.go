package quarantine

import (
	"testing"
	"time"

	"chestnutrouter.example/chestnutrouter/internal/cluster"
)

// start is the begin of the tests' time.
var start = time.Unix(1_000_000, 0)

func after(d time.Duration) time.Time { return start.Add(d) }

func requestID(n int) cluster.RequestID {
	id := cluster.RequestID{Head: uint32(n)}
	id.Fingerprint[0], id.Fingerprint[1] = byte(n), byte(n>>8)
	return id
}

func crash(request, server int, at time.Duration) Evidence {
	return Evidence{Request: requestID(request), Server: cluster.ServerID(server), At: after(at)}
}

// A request that always ends its server is sent for a whole day whenever the table allows it. After
// the third server it may reach no more than the three that the users' rule allows.
func TestHeldRequestEndsFewServersInADay(t *testing.T) {
	table := NewTable()
	sent := 0
	for at := time.Duration(0); at < 24*time.Hour; at += 500 * time.Millisecond {
		if v := table.Judge(requestID(1), true, after(at)); v.Held {
			if v.RetryAfter <= 0 {
				t.Fatalf("held at %v without a time to come back", at)
			}
			continue
		}
		sent++
		table.Add(crash(1, sent, at), after(at))
	}
	if sent <= 3 || sent > 6 {
		t.Errorf("sent %d times in a day, want more than 3, so that it is tried again, and at most 6", sent)
	}
}

// Only one entry tries a held request, and one request at a time. A trial that told nothing is
// followed by a pause.
func TestTrialsAreMadeOneAtATime(t *testing.T) {
	table := NewTable()
	table.Add(crash(1, 1, 0), start)
	table.Add(crash(1, 2, time.Second), after(time.Second))
	over := after(time.Second + holds[0])
	if v := table.Judge(requestID(1), false, over); !v.Held {
		t.Error("an entry that may not try the request sends it")
	}
	if v := table.Judge(requestID(1), true, over); v.Held || !v.Trial {
		t.Errorf("verdict %+v after the hold, want a trial", v)
	}
	if v := table.Judge(requestID(1), true, over); !v.Held {
		t.Error("a second trial beside the first one")
	}
	table.EndTrial(requestID(1), over)
	if v := table.Judge(requestID(1), true, over.Add(trialPause-time.Millisecond)); !v.Held {
		t.Error("a second trial right after the first one")
	}
	if v := table.Judge(requestID(1), true, over.Add(trialPause)); !v.Trial {
		t.Error("no second trial after the pause")
	}
}

// Many servers end at the same moment, as with their host, and a common request ran on each. It
// must not be held for that.
func TestServersThatEndTogetherCountOnce(t *testing.T) {
	table := NewTable()
	for server := range 6 {
		at := time.Duration(server) * 2 * time.Millisecond
		table.Add(crash(1, server, at), after(at))
	}
	if v := table.Judge(requestID(1), true, after(time.Second)); v.Held || v.Crashes != 1 {
		t.Errorf("verdict %+v, want one crash and not held", v)
	}
}

// A request that was beside several crashes ends well somewhere: it is innocent. Reports of other
// entries that are older than that and arrive later do not count.
func TestResponseClearsARequest(t *testing.T) {
	table := NewTable()
	table.Add(crash(1, 1, 0), start)
	table.Add(crash(1, 2, time.Second), after(time.Second))
	cleared := Evidence{Request: requestID(1), Cleared: true, At: after(2 * time.Second)}
	if !table.Add(cleared, after(2*time.Second)) {
		t.Error("the response is not news")
	}
	table.Add(crash(1, 3, time.Second), after(3*time.Second))
	table.Add(crash(1, 1, 0), after(3*time.Second))
	if v := table.Judge(requestID(1), false, after(3*time.Second)); v.Held || v.Crashes != 0 {
		t.Errorf("verdict %+v after a response, want none", v)
	}
	table.Add(crash(1, 4, 4*time.Second), after(4*time.Second))
	if n := table.Crashes(requestID(1), after(4*time.Second)); n != 1 {
		t.Errorf("%d crashes after the response and another server, want 1", n)
	}
}

// A suspicion ends: a request that ran beside one crash long ago is not held for the next one.
func TestSuspicionEnds(t *testing.T) {
	table := NewTable()
	table.Add(crash(1, 1, 0), start)
	if n := table.Crashes(requestID(1), after(suspicionLifetime)); n != 0 {
		t.Errorf("%d crashes after %v, want none", n, suspicionLifetime)
	}
	table.Add(crash(1, 2, suspicionLifetime), after(suspicionLifetime))
	if v := table.Judge(requestID(1), true, after(suspicionLifetime+time.Second)); v.Held || v.Crashes != 1 {
		t.Errorf("verdict %+v after another crash, want one crash and not held", v)
	}
}

// A caller makes thousands of different requests that end servers. The memory is bounded, and
// requests that are held are not forgotten for those that ran beside one crash.
func TestTableIsBounded(t *testing.T) {
	table := NewTable()
	table.Add(crash(0, 1, 0), start)
	table.Add(crash(0, 2, time.Second), after(time.Second))
	for i := 1; i < 5*maxRecords; i++ {
		at := 2*time.Second + time.Duration(i)*time.Millisecond
		table.Add(crash(i, i, at), after(at))
	}
	if n := table.Len(); n > maxRecords {
		t.Errorf("%d requests are remembered, want at most %d", n, maxRecords)
	}
	if n := table.Crashes(requestID(0), after(10*time.Second)); n != heldAfter {
		t.Errorf("%d crashes of the held request are remembered, want %d", n, heldAfter)
	}
	if !table.MayKnow(requestID(5*maxRecords-1).Head) || table.MayKnow(requestID(1).Head) {
		t.Error("the heads are not those of the requests that are remembered")
	}
}
