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

// TestPublishUnderFaults publishes while the log service is faulty. Whatever the
// outcome, a publish after the faults must leave the tree applied exactly once.
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
			h := newHarness(t)
			h.platform.SetFaults(c.faults)
			h.run(c.want, "glazenpot/ann", "publish", h.dir, "--timeout", "2s")
			h.platform.SetFaults(standin.Faults{})
			h.run(ExitOK, "glazenpot/ann", "publish", h.dir)
			h.contains(h.run(ExitOK, "x", "show"), "revision 1,")
			h.contains(h.run(ExitOK, "glazenpot/ann", "publish", h.dir), "nothing differs")
		})
	}
}

// cancelLog is a log that cancels the publisher's context and loses the response
// after it has appended a record.
type cancelLog struct {
	logservice.Log
	cancel func()
}

func (l *cancelLog) Append(ctx context.Context, stream string, data json.RawMessage) (int64, error) {
	if _, err := l.Log.Append(ctx, stream, data); err != nil {
		return 0, err
	}
	l.cancel()
	return 0, &logservice.UnavailableError{Operation: "append", Err: context.Canceled}
}

// TestKilledAfterTheAppend cancels a publish after its record was appended but
// before the response. The publish must report an unknown outcome, and a second one
// must find the tree active.
func TestKilledAfterTheAppend(t *testing.T) {
	h := newHarness(t)
	client := logservice.NewClient([]string{h.endpoint}, logservice.Options{})
	defer client.Close()
	ctx, cancel := context.WithCancel(t.Context())
	operator := &Client{Log: &cancelLog{client, cancel}, VMs: client, Publisher: "glazenpot/ann", Timeout: time.Minute}
	_, err := operator.Publish(ctx, PublishOptions{Directory: h.dir, Base: -1})
	var unknown *UnknownError
	if !errors.As(err, &unknown) {
		t.Fatalf("got error %v, want an UnknownError", err)
	}
	h.contains(h.run(ExitOK, "glazenpot/ann", "publish", h.dir), "nothing differs")
	h.contains(h.run(ExitOK, "x", "show"), "offset 0, revision 1")
}

// rivalLog appends a record of another publisher before the first append.
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

// TestRacingApprovalsBothCount has two operators of one member approve different
// proposals concurrently. Neither approval may be lost.
func TestRacingApprovalsBothCount(t *testing.T) {
	h := newHarness(t)
	h.run(ExitOK, "glazenpot/ann", "publish", h.dir)
	replaceInBranch(t, h.dir, "glazenpot", "25000", "24000")
	replaceInBranch(t, h.dir, "glazenpot/intake/uploads", "96", "90")
	h.run(ExitOK, "glazenpot/ann", "publish", h.dir)
	rival, err := encode(statemachine.Publish{Branch: "/glazenpot/approvals", BaseRevision: 1, Content: `{"approve": ["p2"]}`, Publisher: "glazenpot/bob", PublishID: "rival"})
	if err != nil {
		t.Fatal(err)
	}
	client := logservice.NewClient([]string{h.endpoint}, logservice.Options{})
	defer client.Close()
	operator := &Client{Log: &rivalLog{client, rival}, VMs: client, Publisher: "glazenpot/ann", Timeout: time.Minute}
	if _, err := operator.Approve(t.Context(), "p1", "", false); err != nil {
		t.Error(err)
	}
	h.contains(h.run(ExitOK, "x", "show"), "pending p1 on /glazenpot by glazenpot/ann: approved by 1 of 2", "pending p2 on /glazenpot/intake/uploads by glazenpot/ann: approved by 1 of 2")
}

// TestExpiredLog reads a log whose first records have expired. The commands must
// start from a snapshot, and fail with the reason if there is none.
func TestExpiredLog(t *testing.T) {
	h := newHarness(t)
	h.run(ExitOK, "glazenpot/ann", "publish", h.dir)
	replaceInBranch(t, h.dir, "glazenpot/shop", `"timeout_ms": 2000`, `"timeout_ms": 1500`)
	h.run(ExitOK, "glazenpot/ann", "publish", h.dir)
	client := logservice.NewClient([]string{h.endpoint}, logservice.Options{})
	defer client.Close()
	r := newLogReplayer(client)
	if err := r.catchUp(t.Context()); err != nil {
		t.Fatal(err)
	}
	h.platform.Expire(logservice.StreamConfig, 2)
	h.contains(h.run(ExitUnknown, "x", "show", "--timeout", "300ms"), "records before offset 2 have expired and no snapshot reaches it")
	for _, data := range [][]byte{mustSnapshot(t, statemachine.Empty()), mustSnapshot(t, r.state), []byte(`{"version":9}`)} {
		if _, err := client.Append(t.Context(), logservice.StreamSnapshots, data); err != nil {
			t.Fatal(err)
		}
	}
	h.contains(h.run(ExitOK, "x", "show"), "offset 1, revision 2")
	h.contains(h.run(ExitOK, "glazenpot/ann", "publish", h.dir), "nothing differs")
}

func mustSnapshot(t *testing.T, s *statemachine.State) []byte {
	t.Helper()
	data, err := json.Marshal(s)
	if err != nil {
		t.Fatal(err)
	}
	return data
}
