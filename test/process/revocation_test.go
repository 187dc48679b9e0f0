package process_test

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"chestnutrouter.example/chestnutrouter/internal/proctest"
	"chestnutrouter.example/chestnutrouter/standin/usersplatform"
)

const (
	revokeHost = "shop.example"
	revokeTime = 2 * time.Second
	// revokeWait bounds the waits of the test for what must come some time.
	revokeWait = 60 * time.Second

	removedKey = "key-that-is-removed"
	otherKey   = "key-that-stays"
)

// revocation plays a key that is removed while its entries are in trouble.
type revocation struct {
	t       *testing.T
	group   *proctest.Gateways
	entries []*proctest.Gateway
	servers []*usersplatform.Server
	client  *http.Client

	mu   sync.Mutex // guards the fields below
	sent map[string]time.Time
}

func startRevocation(t *testing.T) *revocation {
	t.Helper()
	terms := fmt.Sprintf("strictRevocation = true\nrevoke = %q", revokeTime)
	group, err := proctest.NewGateways(t.TempDir(), binaries, terms)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(group.Close)
	r := &revocation{t: t, group: group, sent: map[string]time.Time{}, client: &http.Client{Timeout: 3 * time.Second}}
	t.Cleanup(r.client.CloseIdleConnections)
	r.configure(1, usersplatform.Tenant("removed", removedKey), usersplatform.Tenant("other", otherKey))
	for i, service := range []string{"look", "open"} {
		s, err := usersplatform.StartServer(group.Store, service+"-1", service, fmt.Sprint("zone-", i))
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(s.Close)
		r.servers = append(r.servers, s)
	}
	for range 3 {
		e, err := group.Start()
		if err != nil {
			t.Fatal(err)
		}
		r.entries = append(r.entries, e)
	}
	return r
}

func (r *revocation) configure(version int, tenants ...map[string]any) {
	c := usersplatform.Config(version, revokeHost, "look", "open")
	r.group.Store.PutJSON("keyed.op", "config", usersplatform.WithTenants(c, []string{"open"}, tenants...))
}

// send sends a request with the key, and returns its status, zero without an answer.
func (r *revocation) send(ctx context.Context, e *proctest.Gateway, path, key string) int {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+e.CallerAddress+path, nil)
	if err != nil {
		return 0
	}
	r.mu.Lock()
	id := fmt.Sprintf("%s-%d", e.Name, len(r.sent))
	if key == removedKey && path == "/look/" {
		r.sent[id] = time.Now()
	} else {
		r.sent[id] = time.Time{}
	}
	r.mu.Unlock()
	request.Host = revokeHost
	request.Header.Set("X-Request-Id", id)
	request.Header.Set("Authorization", "Token "+key)
	response, err := r.client.Do(request)
	if err != nil {
		return 0
	}
	defer response.Body.Close()
	if _, err := io.Copy(io.Discard, response.Body); err != nil {
		return 0
	}
	return response.StatusCode
}

// await waits until the entry answers with the status.
func (r *revocation) await(e *proctest.Gateway, path, key string, status int) {
	r.t.Helper()
	last := 0
	err := proctest.Until(r.t.Context(), revokeWait, func() bool {
		last = r.send(r.t.Context(), e, path, key)
		return last == status
	})
	if err != nil {
		log, _ := e.Log()
		r.t.Fatalf("%s: status %d on %s, want %d: %v\n%s", e.Name, last, path, status, err, log[max(0, len(log)-3000):])
	}
}

// sendUntil sends requests with the removed key to the entry until a time.
func (r *revocation) sendUntil(end time.Time, e *proctest.Gateway) {
	for time.Now().Before(end) {
		r.send(r.t.Context(), e, "/look/", removedKey)
		time.Sleep(5 * time.Millisecond)
	}
}

// check fails the test if a request with the removed key ran that was sent later than the bound
// after the key was removed.
func (r *revocation) check(removed time.Time) {
	r.t.Helper()
	r.mu.Lock()
	defer r.mu.Unlock()
	late, ran := 0, 0
	for _, sent := range r.sent {
		if sent.Sub(removed) > revokeTime {
			late++
		}
	}
	for _, s := range r.servers {
		for _, run := range s.Runs() {
			if sent := r.sent[run.ID]; !sent.IsZero() && sent.Sub(removed) > revokeTime {
				ran++
				r.t.Errorf("request %s ran with a key that was removed %v before it was sent", run.ID, sent.Sub(removed))
			}
		}
	}
	if late == 0 {
		r.t.Error("no request was sent later than the bound after the key was removed")
	}
	r.t.Logf("%d requests with the removed key were sent after the bound, %d ran", late, ran)
}

// A key is removed while one entry has lost the store and its peers, and the others are paused. None of
// them may run a request with it that was sent later than the bound, nor after the pause, nor after a
// restart; public requests go on at the entry that is cut off, and the other key works again
// everywhere in the end.
func TestRemovedKeyNeverRunsLate(t *testing.T) {
	r := startRevocation(t)
	cut, paused := r.entries[0], r.entries[1:]
	for _, e := range r.entries {
		r.await(e, "/look/", removedKey, http.StatusOK)
	}
	for _, e := range paused {
		if err := e.Pause(); err != nil {
			t.Fatal(err)
		}
	}
	cut.Endpoint.SetFault(usersplatform.Hang, 0)
	r.configure(2, usersplatform.Tenant("other", otherKey))
	removed := time.Now()

	r.sendUntil(removed.Add(revokeTime+time.Second), cut)
	r.await(cut, "/look/", otherKey, http.StatusServiceUnavailable)
	r.await(cut, "/open/", removedKey, http.StatusOK)
	r.check(removed)

	// The paused entries know only the configuration with the key when they go on. The requests that
	// are sent before are handled first.
	var sending sync.WaitGroup
	for _, e := range paused {
		for range 8 {
			sending.Go(func() { r.send(t.Context(), e, "/look/", removedKey) })
		}
		if err := e.Resume(); err != nil {
			t.Fatal(err)
		}
		sending.Go(func() { r.sendUntil(time.Now().Add(time.Second), e) })
	}
	sending.Wait()
	r.check(removed)

	// The entry is started again without the store. It gets the configuration, and the proof with it,
	// from the others.
	cut.Kill()
	if err := cut.Restart(); err != nil {
		t.Fatal(err)
	}
	r.sendUntil(time.Now().Add(time.Second), cut)
	for _, e := range r.entries {
		r.await(e, "/look/", otherKey, http.StatusOK)
		r.await(e, "/look/", removedKey, http.StatusUnauthorized)
	}

	// It is started again without anybody to ask.
	for _, e := range paused {
		if err := e.Pause(); err != nil {
			t.Fatal(err)
		}
	}
	cut.Kill()
	if err := cut.Restart(); err != nil {
		t.Fatal(err)
	}
	r.sendUntil(time.Now().Add(time.Second), cut)
	for _, e := range paused {
		if err := e.Resume(); err != nil {
			t.Fatal(err)
		}
	}
	cut.Endpoint.SetFault(usersplatform.None, 0)
	for _, e := range r.entries {
		r.await(e, "/look/", otherKey, http.StatusOK)
	}
	r.check(removed)
	for _, e := range r.entries {
		log, err := e.Log()
		if err != nil || strings.Contains(log, removedKey) || strings.Contains(log, otherKey) {
			t.Errorf("the log of %s has a key, or can't be read: %v", e.Name, err)
		}
	}
}
