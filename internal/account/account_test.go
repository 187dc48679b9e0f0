package account

import (
	"net"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/uber-go/tally/v4"
)

// A head's lines are counted and its end is found however it is cut into pieces, so that the lines of a body
// or of the next head are not counted for it.
func TestHeadScannerFindsTheEnd(t *testing.T) {
	for _, c := range []struct {
		head  string
		lines int
	}{
		{"GET / HTTP/1.1\r\nHost: a\r\n\r\n", 2},
		{"GET / HTTP/1.1\nHost: a\nb:\n\n", 3},
		{"\r\nGET / HTTP/1.1\r\n\r\n", 2},
	} {
		const rest = "body\r\n\r\nmore"
		for size := 1; size <= len(c.head)+len(rest); size++ {
			var h headScanner
			var after strings.Builder
			for piece := range slices.Chunk([]byte(c.head+rest), size) {
				after.Write(h.add(piece))
			}
			if h.lines != c.lines || !h.done || after.String() != rest {
				t.Errorf("%q in pieces of %d: got %d lines, end %t, rest %q; want %d, the end and %q",
					c.head, size, h.lines, h.done, after.String(), c.lines, rest)
			}
		}
	}
}

// The limits of the VMs of the two deployments, as the design note states them.
func TestLimitsOfTheDeployments(t *testing.T) {
	for descriptors, want := range map[int]Limits{
		2870: {Callers: 1864, Peers: 297, Directory: 148, Operators: 37},
		4100: {Callers: 2728, Peers: 436, Directory: 218, Operators: 54},
		8192: {Callers: 5605, Peers: 896, Directory: 448, Operators: 112},
	} {
		if got := LimitsFor(0, descriptors); got != want {
			t.Errorf("%d descriptors: got %+v, want %+v", descriptors, got, want)
		}
	}
	if got := LimitsFor(0, 0); got != (Limits{}) {
		t.Errorf("no limits: got %+v", got)
	}
}

func newAccount(memory int64) *Account {
	return New(Limits{MemoryBytes: memory}, func(string, ...any) {}, tally.NoopScope)
}

// connect returns a counted connection in a state since some time ago, and its other end.
func connect(t *testing.T, a *Account, s *side, is state, age time.Duration) *Conn {
	t.Helper()
	near, far := net.Pipe()
	t.Cleanup(func() { far.Close() })
	c := &Conn{Conn: near, account: a, side: s}
	if !a.add(c) {
		t.Fatal("the side is full")
	}
	c.state.Store(int32(is))
	c.stateSince.Store(int64(clock() - age))
	c.progress.restart(clock() - age)
	return c
}

// A full listener gives up those that have sent no head before idle connections, and never a request that
// may run.
func TestOrderForConnections(t *testing.T) {
	a := newAccount(0)
	s := a.newSide("callers", 5)
	running := connect(t, a, s, stateRequest, time.Hour)
	longIdle := connect(t, a, s, stateIdle, time.Minute)
	shortIdle := connect(t, a, s, stateIdle, time.Second)
	silent := connect(t, a, s, stateBody, 2*time.Second)
	silent.readSince.Store(1)
	stopped := connect(t, a, s, stateHead, time.Second)
	for i, want := range []*Conn{stopped, silent, longIdle, shortIdle} {
		if !a.makeRoom(s, reasonConnections) || !want.isShed() {
			t.Errorf("step %d: another connection was shed", i)
		}
	}
	if a.makeRoom(s, reasonConnections) || running.isShed() {
		t.Error("a request in progress was shed")
	}
}

// The largest holder is shed for memory, and what it held is counted until its request has ended.
func TestOrderForMemory(t *testing.T) {
	a := newAccount(100_000)
	s := a.newSide("callers", 0)
	running := connect(t, a, s, stateRequest, time.Hour)
	large := connect(t, a, s, stateHead, time.Second)
	small := connect(t, a, s, stateHead, time.Minute)
	for c, size := range map[*Conn]int64{running: 60_000, large: 30_000, small: 9_000} {
		if !c.Hold(size) {
			t.Fatal("shed before the memory was full")
		}
	}
	if !small.Hold(2_000) || !large.isShed() || running.isShed() {
		t.Errorf("large shed %t, running shed %t; want only the large head shed", large.isShed(), running.isShed())
	}
	if held, leaving := a.held.Load(), a.leaving.Load(); held != 101_000 || leaving != 30_000 {
		t.Errorf("%d bytes held, %d leaving; want 101000 and 30000", held, leaving)
	}
	for _, c := range []*Conn{large, small, running} {
		c.Release(100)
		if err := c.Close(); err != nil {
			t.Error(err)
		}
		c.Release(100)
	}
	if held, leaving := a.held.Load(), a.leaving.Load(); held != 0 || leaving != 0 {
		t.Errorf("%d bytes held, %d leaving after the end", held, leaving)
	}
}
