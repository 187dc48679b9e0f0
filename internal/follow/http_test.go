package follow

import (
	"context"
	"encoding/json"
	"net/http/httptest"
	"testing"

	"chestnutrouter.example/chestnutrouter/internal/logservice"
	"chestnutrouter.example/chestnutrouter/internal/statemachine"
	standin "chestnutrouter.example/chestnutrouter/standin/logservice"
)

func TestFollowerStartsFromASnapshotOverHTTP(t *testing.T) {
	service := standin.New()
	server := httptest.NewServer(service)
	defer server.Close()
	client := logservice.NewClient([]string{server.URL}, logservice.Options{ClientName: "vm-1"})
	defer client.Close()
	mustAppend := func(stream string, data json.RawMessage) {
		if _, err := client.Append(t.Context(), stream, data); err != nil {
			t.Fatal(err)
		}
	}

	state := statemachine.Empty()
	for offset, data := range []json.RawMessage{initialRecord(), claim(0, "i0", ""), claim(1, "i1", ""), claim(2, "i2", "")} {
		mustAppend(logservice.StreamConfig, data)
		state, _ = state.Apply(int64(offset), data)
		if offset == 2 {
			snapshot, err := json.Marshal(state)
			if err != nil {
				t.Fatal(err)
			}
			mustAppend(logservice.StreamSnapshots, json.RawMessage(`{"damaged":true}`))
			mustAppend(logservice.StreamSnapshots, snapshot)
		}
	}
	service.Expire(logservice.StreamConfig, 3)
	service.Expire(logservice.StreamSnapshots, 1)
	service.SetFaults(standin.Faults{RepeatRecords: true, ReverseRecords: true})

	f := New(Options{Log: client})
	done := make(chan struct{})
	f.Subscribe(func(s *statemachine.State) {
		if s.Offset() == state.Offset() {
			close(done)
		}
	})
	ctx, cancel := context.WithCancel(t.Context())
	stopped := make(chan struct{})
	go func() {
		defer close(stopped)
		f.Run(ctx)
	}()
	<-done
	cancel()
	<-stopped
	if f.Current().Hash() != state.Hash() {
		t.Errorf("hash %s, want %s", f.Current().Hash(), state.Hash())
	}
	if f.LastContact().IsZero() {
		t.Error("LastContact is zero, want the time of the last response")
	}
}
