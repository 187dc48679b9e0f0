package ctl

import (
	"context"
	"encoding/json"
	"errors"
	"testing"
	"time"

	"chestnutrouter.example/chestnutrouter/internal/logservice"
	"chestnutrouter.example/chestnutrouter/internal/statemachine"
	standin "chestnutrouter.example/chestnutrouter/standin/logservice"
)

// TestPublishUnderFaults publishes while the log is faulty. Whatever the
// operator is told, a publish after the faults brings the tree in force once.
func TestPublishUnderFaults(t *testing.T) {
	for _, c := range []struct {
		name   string
		faults standin.Faults
		want   ExitCode
	}{
		{"slow", standin.Faults{DelayMs: 100}, ExitOK},
		{"answer lost", standin.Faults{LoseAppendResponses: 1}, ExitOK},
		{"answers lost again and again", standin.Faults{LoseAppendResponses: 4}, ExitOK},
		{"records twice", standin.Faults{RepeatRecords: true}, ExitOK},
		{"records out of order", standin.Faults{ReverseRecords: true}, ExitOK},
		{"all at once", standin.Faults{DelayMs: 50, LoseAppendResponses: 1, RepeatRecords: true, ReverseRecords: true}, ExitOK},
		{"down", standin.Faults{Down: true}, ExitUnknown},
		{"cut", standin.Faults{Disconnected: []string{standin.AllClients}}, ExitUnknown},
		{"frozen", standin.Faults{Hung: []string{standin.AllClients}}, ExitUnknown},
	} {
		t.Run(c.name, func(t *testing.T) {
			b := newBench(t)
			b.platform.SetFaults(c.faults)
			b.run(c.want, "glazenpot/ann", "publish", b.dir, "--timeout", "2s")
			b.platform.SetFaults(standin.Faults{})
			b.run(ExitOK, "glazenpot/ann", "publish", b.dir)
			b.contains(b.run(ExitOK, "x", "show"), "revision 1,")
			b.contains(b.run(ExitOK, "glazenpot/ann", "publish", b.dir), "nothing differs")
		})
	}
}

// cutLog is a log whose answers to the publisher end right after an append.
type cutLog struct {
	logservice.Log
	cut func()
}

func (l *cutLog) Append(ctx context.Context, stream string, data json.RawMessage) (int64, error) {
	if _, err := l.Log.Append(ctx, stream, data); err != nil {
		return 0, err
	}
	l.cut()
	return 0, &logservice.UnavailableError{Operation: "append", Err: context.Canceled}
}

// TestKilledAfterTheAppend ends chestnutctl between its append and the answer.
func TestKilledAfterTheAppend(t *testing.T) {
	b := newBench(t)
	client := logservice.NewClient([]string{b.endpoint}, logservice.Options{})
	defer client.Close()
	ctx, cancel := context.WithCancel(t.Context())
	control := &Client{Log: &cutLog{client, cancel}, VMs: client, Publisher: "glazenpot/ann", Timeout: time.Minute}
	_, err := control.Publish(ctx, PublishOptions{Directory: b.dir, Base: -1})
	var unknown *UnknownError
	if !errors.As(err, &unknown) {
		t.Fatalf("got %v", err)
	}
	b.contains(b.run(ExitOK, "glazenpot/ann", "publish", b.dir), "nothing differs")
	b.contains(b.run(ExitOK, "x", "show"), "offset 0, revision 1")
}

// rivalLog appends a record of somebody else before the first one.
type rivalLog struct {
	logservice.Log
	rival json.RawMessage
}

func (l *rivalLog) Append(ctx context.Context, stream string, data json.RawMessage) (int64, error) {
	if rival := l.rival; rival != nil {
		l.rival = nil
		if _, err := l.Log.Append(ctx, stream, rival); err != nil {
			return 0, err
		}
	}
	return l.Log.Append(ctx, stream, data)
}

// TestRacingApprovalsBothCount lets two operators of one member approve at once.
func TestRacingApprovalsBothCount(t *testing.T) {
	b := newBench(t)
	b.run(ExitOK, "glazenpot/ann", "publish", b.dir)
	edit(t, b.dir, "glazenpot", "25000", "24000")
	edit(t, b.dir, "glazenpot/intake/uploads", "96", "90")
	b.run(ExitOK, "glazenpot/ann", "publish", b.dir)
	rival, err := encode(statemachine.Publish{Branch: "/glazenpot/approvals", BaseRevision: 1, Content: `{"approve": ["p2"]}`, Publisher: "glazenpot/bob", PublishID: "rival"})
	if err != nil {
		t.Fatal(err)
	}
	client := logservice.NewClient([]string{b.endpoint}, logservice.Options{})
	defer client.Close()
	control := &Client{Log: &rivalLog{client, rival}, VMs: client, Publisher: "glazenpot/ann", Timeout: time.Minute}
	if _, err := control.Approve(t.Context(), "p1", "", false); err != nil {
		t.Error(err)
	}
	b.contains(b.run(ExitOK, "x", "show"), "pending p1 on /glazenpot by glazenpot/ann: approved by 1 of 2", "pending p2 on /glazenpot/intake/uploads by glazenpot/ann: approved by 1 of 2")
}

// TestExpiredLog starts from a snapshot, and says so when there is none.
func TestExpiredLog(t *testing.T) {
	b := newBench(t)
	b.run(ExitOK, "glazenpot/ann", "publish", b.dir)
	edit(t, b.dir, "glazenpot/shop", `"timeout_ms": 2000`, `"timeout_ms": 1500`)
	b.run(ExitOK, "glazenpot/ann", "publish", b.dir)
	client := logservice.NewClient([]string{b.endpoint}, logservice.Options{})
	defer client.Close()
	r := newReader(client)
	if err := r.catchUp(t.Context()); err != nil {
		t.Fatal(err)
	}
	b.platform.Expire(logservice.StreamConfig, 2)
	b.contains(b.run(ExitUnknown, "x", "show", "--timeout", "300ms"), "records before offset 2 have expired and no snapshot reaches it")
	for _, data := range [][]byte{mustSnapshot(t, statemachine.Empty()), mustSnapshot(t, r.state), []byte(`{"version":9}`)} {
		if _, err := client.Append(t.Context(), logservice.StreamSnapshots, data); err != nil {
			t.Fatal(err)
		}
	}
	b.contains(b.run(ExitOK, "x", "show"), "offset 1, revision 2")
	b.contains(b.run(ExitOK, "glazenpot/ann", "publish", b.dir), "nothing differs")
}

func mustSnapshot(t *testing.T, s *statemachine.State) []byte {
	t.Helper()
	data, err := json.Marshal(s)
	if err != nil {
		t.Fatal(err)
	}
	return data
}
