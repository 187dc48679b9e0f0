package logservice_test

import (
	"encoding/json"
	"errors"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"testing"
	"time"

	"chestnutrouter.example/chestnutrouter/internal/fleet"
	"chestnutrouter.example/chestnutrouter/internal/logservice"
	standin "chestnutrouter.example/chestnutrouter/standin/logservice"
)

func start(t *testing.T) (*standin.Server, *httptest.Server) {
	t.Helper()
	s := standin.New()
	server := httptest.NewServer(s)
	t.Cleanup(server.Close)
	return s, server
}

func client(t *testing.T, name string, endpoints ...string) *logservice.Client {
	t.Helper()
	c := logservice.NewClient(endpoints, logservice.Options{ClientName: name, Timeout: time.Minute})
	t.Cleanup(c.Close)
	return c
}

func mustAppend(t *testing.T, c *logservice.Client, data string) int64 {
	t.Helper()
	offset, err := c.Append(t.Context(), logservice.StreamConfig, json.RawMessage(data))
	if err != nil {
		t.Fatal(err)
	}
	return offset
}

func TestAppendedRecordsAreReadInOrder(t *testing.T) {
	_, server := start(t)
	c := client(t, "vm-1", server.URL)
	for i, data := range []string{`{"a":1}`, `{"a":2}`, `{"a":3}`} {
		if got := mustAppend(t, c, data); got != int64(i) {
			t.Fatalf("offset %d, want %d", got, i)
		}
	}
	page, err := c.Read(t.Context(), logservice.StreamConfig, 1, 0)
	if err != nil {
		t.Fatal(err)
	}
	if len(page.Records) != 2 || page.Next != 3 || string(page.Records[0].Data) != `{"a":2}` {
		t.Fatalf("page %+v, want the records at offsets 1 and 2, next 3", page)
	}
}

func TestLongPollReturnsOnAppend(t *testing.T) {
	_, server := start(t)
	c := client(t, "vm-1", server.URL)
	pages := make(chan logservice.Page, 1)
	go func() {
		page, _ := c.Read(t.Context(), logservice.StreamConfig, 0, time.Minute)
		pages <- page
	}()
	mustAppend(t, c, `1`)
	if page := <-pages; len(page.Records) != 1 || page.Next != 1 {
		t.Fatalf("page %+v, want one record, next 1", page)
	}
}

func TestExpiredRecordsNameTheOldestKept(t *testing.T) {
	s, server := start(t)
	c := client(t, "vm-1", server.URL)
	for range 5 {
		mustAppend(t, c, `1`)
	}
	s.Expire(logservice.StreamConfig, 3)
	_, err := c.Read(t.Context(), logservice.StreamConfig, 2, 0)
	var expired *logservice.ExpiredError
	if !errors.As(err, &expired) || expired.Oldest != 3 || expired.Stream != logservice.StreamConfig {
		t.Fatalf("error %v, want the config stream expired before offset 3", err)
	}
	if _, err := c.Read(t.Context(), logservice.StreamConfig, 3, 0); err != nil {
		t.Fatal(err)
	}
}

func TestLostAnswerIsNotCertainAndNotSentAgain(t *testing.T) {
	s, server := start(t)
	c := client(t, "vm-1", server.URL, server.URL)
	mustAppend(t, c, `1`) // leaves an idle connection, on which net/http could retry
	s.SetFaults(standin.Faults{LoseAppendResponses: 1})
	_, err := c.Append(t.Context(), logservice.StreamConfig, json.RawMessage(`2`))
	var unavailable *logservice.UnavailableError
	if !errors.As(err, &unavailable) || unavailable.NoEffect {
		t.Fatalf("error %v, want one after which the append may have taken effect", err)
	}
	page, err := c.Read(t.Context(), logservice.StreamConfig, 0, 0)
	if err != nil || len(page.Records) != 2 {
		t.Fatalf("page %+v, error %v, want 2 records", page, err)
	}
}

func TestUnreachableEndpointIsCertainAndSkipped(t *testing.T) {
	_, server := start(t)
	gone := httptest.NewServer(http.NotFoundHandler())
	gone.Close()
	_, err := client(t, "vm-1", gone.URL).Append(t.Context(), logservice.StreamConfig, json.RawMessage(`1`))
	var unavailable *logservice.UnavailableError
	if !errors.As(err, &unavailable) || !unavailable.NoEffect {
		t.Fatalf("error %v, want one that the append had no effect", err)
	}
	if got := mustAppend(t, client(t, "vm-1", gone.URL, server.URL), `1`); got != 0 {
		t.Fatalf("offset %d, want 0", got)
	}
}

func TestFaultsHitOnlyTheNamedClient(t *testing.T) {
	s, server := start(t)
	one, two := client(t, "vm-1", server.URL), client(t, "vm-2", server.URL)
	s.SetFaults(standin.Faults{Disconnected: []string{"vm-1"}})
	if _, err := one.Read(t.Context(), logservice.StreamConfig, 0, 0); err == nil {
		t.Fatal("the disconnected client got a response")
	}
	mustAppend(t, two, `1`)
	s.SetFaults(standin.Faults{Down: true})
	_, err := two.VMs(t.Context())
	var unavailable *logservice.UnavailableError
	if !errors.As(err, &unavailable) || unavailable.Status != http.StatusServiceUnavailable {
		t.Fatalf("error %v, want status 503", err)
	}
}

func TestVMListLags(t *testing.T) {
	s, server := start(t)
	c := client(t, "vm-1", server.URL)
	s.SetFaults(standin.Faults{VMLagMs: int(time.Hour / time.Millisecond)})
	s.SetVMs([]fleet.VM{{Name: "vm-1"}})
	if vms, err := c.VMs(t.Context()); err != nil || len(vms) != 0 {
		t.Fatalf("VMs %v, error %v, want the earlier, empty list", vms, err)
	}
	s.SetFaults(standin.Faults{})
	if vms, err := c.VMs(t.Context()); err != nil || len(vms) != 1 {
		t.Fatalf("VMs %v, error %v, want one VM", vms, err)
	}
}

func TestUnchangedVMListIsNotSentAgain(t *testing.T) {
	s, server := start(t)
	c := client(t, "vm-1", server.URL)
	for round, plain := range []bool{false, true} {
		s.SetFaults(standin.Faults{OmitVMListETag: plain})
		s.SetVMs(slices.Repeat([]fleet.VM{{Name: strings.Repeat("n", 1000+round)}}, 10))
		var sizes []int64
		for range 3 {
			before := c.ReceivedBytes()
			vms, err := c.VMs(t.Context())
			if err != nil || len(vms) != 10 || len(vms[0].Name) != 1000+round {
				t.Fatalf("%d VMs, error %v, want the 10 VMs of this round", len(vms), err)
			}
			sizes = append(sizes, c.ReceivedBytes()-before)
		}
		if isSmall := sizes[2] < sizes[0]/10; isSmall == plain {
			t.Errorf("ETag omitted %t: responses of %d bytes, want a small third one only with an ETag", plain, sizes)
		}
	}
}

func TestSlowPlatformIsWaitedFor(t *testing.T) {
	s, server := start(t)
	c := logservice.NewClient([]string{server.URL}, logservice.Options{ClientName: "vm-1"})
	t.Cleanup(c.Close)
	s.SetFaults(standin.Faults{DelayMs: 2500})
	offset, err := c.Append(t.Context(), logservice.StreamConfig, json.RawMessage(`1`))
	if err != nil || offset != 0 {
		t.Fatalf("offset %d, error %v, want offset 0", offset, err)
	}
}

func TestAdminPathsRefuseUnknownFields(t *testing.T) {
	_, server := start(t)
	for body, want := range map[string]int{
		`{"down":true}`:   http.StatusOK,
		`{"dwon":true}`:   http.StatusBadRequest,
		`{"cut":"vm-1"}`:  http.StatusBadRequest,
		`{"cut":["vm1"]}`: http.StatusOK,
	} {
		req, _ := http.NewRequest(http.MethodPut, server.URL+"/admin/faults", strings.NewReader(body))
		resp, err := http.DefaultClient.Do(req)
		if err != nil {
			t.Fatal(err)
		}
		resp.Body.Close()
		if resp.StatusCode != want {
			t.Errorf("%s: status %d, want %d", body, resp.StatusCode, want)
		}
	}
}
