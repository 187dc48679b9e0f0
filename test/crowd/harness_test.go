// Package crowd tests entries, as real processes on loopback, with crowds of callers outside the
// limits: neither program may end or hang, nor exceed the memory and descriptors of its VM, and an
// ordinary request is answered while the crowd stays. The VMs are small, so that small crowds show a fault.
// The tests run one at a time and beside no other load (scripts/test).
package crowd

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"chestnutrouter.example/chestnutrouter/internal/loopback"
	"chestnutrouter.example/chestnutrouter/internal/proctest"
	"chestnutrouter.example/chestnutrouter/standin/backend"
	"chestnutrouter.example/chestnutrouter/standin/usersplatform"
)

const (
	// memoryMB is the memory of the VM in units of 2^20 bytes.
	memoryMB = 96
	// daemonSoftMB is the setting of the product's own program for that VM.
	daemonSoftMB = 76
	// responseBytes is the size of the responses of the route that has large ones.
	responseBytes = 200 << 10
	// patience is how long an ordinary caller tries again before the test fails. The routes' timeouts
	// are longer, so that the crowd does not end by itself before.
	patience = 8 * time.Second
	// ordinaryTimeout bounds each try.
	ordinaryTimeout = 2 * time.Second
	startTimeout    = 20 * time.Second
)

var binaries proctest.Binaries

func TestMain(m *testing.M) { os.Exit(buildAndRun(m)) }

func buildAndRun(m *testing.M) int {
	dir, err := os.MkdirTemp("", "chestnutrouter")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	defer os.RemoveAll(dir)
	if binaries, err = proctest.Build(context.Background(), dir); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	return m.Run()
}

// place is what the callers of a crowd request of one HTTP address.
type place struct {
	name, address, host, path string
	// upload is set if a request with a body may be sent there by PUT.
	upload bool
	// padded is set if the response is large.
	padded bool
}

// site is one process of either program, with the addresses that it listens on.
type site struct {
	pid    int
	ended  <-chan struct{}
	log    string // path of the process's log
	places []place
	peers  string
	// ordinary are requests of callers inside the limits, by name.
	ordinary map[string]func() error
}

// request sends one ordinary request on a connection of its own.
func request(method, address, host, path, body string, header http.Header) (string, error) {
	r, err := http.NewRequest(method, "http://"+address+path, strings.NewReader(body))
	if err != nil {
		return "", err
	}
	if host != "" {
		r.Host = host
	}
	for name := range header {
		r.Header.Set(name, header.Get(name))
	}
	client := http.Client{Timeout: ordinaryTimeout, Transport: &http.Transport{DisableKeepAlives: true}}
	response, err := client.Do(r)
	if err != nil {
		return "", err
	}
	defer response.Body.Close()
	data, err := io.ReadAll(response.Body)
	if err == nil && response.StatusCode != http.StatusOK {
		err = fmt.Errorf("status %d: %.200s", response.StatusCode, data)
	}
	return string(data), err
}

// get returns an ordinary request without a body.
func get(address, host, path string) func() error {
	return func() error {
		_, err := request(http.MethodGet, address, host, path, "", http.Header{"X-Request-Id": {"ordinary"}})
		return err
	}
}

const gatewayHost = "shop.example"

// startGateway starts the program of the users' platform, with the stand-in store and servers.
func startGateway(t *testing.T, memory, descriptors int64) *site {
	t.Helper()
	dir, store := t.TempDir(), usersplatform.NewStore()
	for _, service := range []string{"look", "big"} {
		server, err := usersplatform.StartServer(store, service+"-1", service, "z1")
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(server.Close)
		if service == "big" {
			server.SetPadding(responseBytes)
		}
	}
	config := usersplatform.Config(1, gatewayHost, "look", "big")
	routes := config["routes"].([]map[string]any)
	for _, r := range routes {
		r["timeout"], r["targetLatency"] = "30s", "30s"
	}
	config["routes"] = append(routes, map[string]any{
		"name": "r-scans", "host": gatewayHost, "pathPrefix": "/scans/", "kind": "upload", "timeout": "30s",
		"targetLatency": "30s", "priority": 2, "service": "look", "maxAttempts": 2,
	})
	config["limits"] = map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 64 << 20, "headerTimeout": "3000ms", "idleTimeout": "15000ms"}
	store.PutJSON("keyed.op", "config", config)
	endpoint, err := store.NewEndpoint()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(endpoint.Close)
	address := func() string {
		a, err := loopback.Next()
		if err != nil {
			t.Fatal(err)
		}
		return a.String()
	}
	front, ready, control, directory := address(), address(), address(), address()
	// The metrics are on the second internal port.
	internal, err := loopback.Next()
	if err != nil {
		t.Fatal(err)
	}
	metrics, err := loopback.Next()
	if err != nil {
		t.Fatal(err)
	}
	if metrics.Port() != internal.Port()+1 {
		t.Fatalf("ports %d and %d are not consecutive", internal.Port(), metrics.Port())
	}
	text := fmt.Sprintf(`
[self]
nodeId = "entry-1"
zone = "z1"
ip = %q
bootstrap = true
[self.limits]
cpuShare = 1.0
cores = 1
memoryMb = %d
[network]
internalPorts = [%d, %d]
seeds = []
[network.listen]
front = %q
ready = %q
control = %q
directory = %q
[platform.platform]
address = %q
[terms.bounds]
grace = "3s"
retryBudgetRatio = 0.2
retryBudgetSlack = 64
ttl_max = "1s"
`, internal.Addr(), memory, internal.Port(), metrics.Port(), front, ready, control, directory, endpoint.Address)
	file := filepath.Join(dir, "entry.toml")
	if err := os.WriteFile(file, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	s := &site{
		log:   filepath.Join(dir, "entry.log"),
		peers: control,
		places: []place{
			{name: "route", address: front, host: gatewayHost, path: "/look/1", upload: true},
			{name: "upload route", address: front, host: gatewayHost, path: "/scans/1", upload: true},
			{name: "large responses", address: front, host: gatewayHost, path: "/big/1", padded: true},
			{name: "no route", address: front, host: gatewayHost, path: "/nowhere", upload: true},
			{name: "readiness", address: ready, host: ready, path: "/chestnutrouter/ready"},
			{name: "endpoint list", address: directory, host: directory, path: "/chestnutrouter/resolve?name=" + gatewayHost},
			{name: "metrics", address: metrics.String(), host: metrics.String(), path: "/metrics", padded: true},
		},
		ordinary: map[string]func() error{
			"request without a body": get(front, gatewayHost, "/look/ordinary"),
			"request with a body": func() error {
				_, err := request(http.MethodPost, front, gatewayHost, "/look/ordinary", strings.Repeat("x", 2000), http.Header{"X-Request-Id": {"ordinary"}})
				return err
			},
			"upload": func() error {
				_, err := request(http.MethodPut, front, gatewayHost, "/scans/ordinary", strings.Repeat("x", 1<<20), http.Header{"X-Request-Id": {"ordinary"}})
				return err
			},
			"readiness check": get(ready, "", "/chestnutrouter/ready"),
			"endpoint list":   get(directory, "", "/chestnutrouter/resolve?name="+gatewayHost),
			"metrics":         get(metrics.String(), "", "/metrics"),
		},
	}
	out, err := os.Create(s.log)
	if err != nil {
		t.Fatal(err)
	}
	cmd := proctest.Command(descriptors, binaries.Router, "gateway", "--settings", file)
	cmd.Stdout, cmd.Stderr = out, out
	proctest.OwnGroup(cmd)
	if err := cmd.Start(); err != nil {
		t.Fatal(err)
	}
	s.pid, s.ended = cmd.Process.Pid, waitFor(cmd)
	t.Cleanup(func() {
		_ = cmd.Process.Kill() // it may have ended
		<-s.ended
		out.Close()
	})
	s.awaitOrdinary(t)
	return s
}

func waitFor(cmd *exec.Cmd) <-chan struct{} {
	ended := make(chan struct{})
	go func() {
		_ = cmd.Wait()
		close(ended)
	}()
	return ended
}

const (
	shopHost   = "shop.glazenpot.example"
	intakeHost = "intake.glazenpot.example"
)

// startDaemon starts the product's own program with the example tree, in which orders may be larger.
func startDaemon(t *testing.T, descriptors int64) *site {
	t.Helper()
	dir := t.TempDir()
	branches := filepath.Join(dir, "tree")
	if err := os.CopyFS(branches, os.DirFS("../../examples/tree")); err != nil {
		t.Fatal(err)
	}
	shop := filepath.Join(branches, "glazenpot", "shop", "branch.jsonc")
	content, err := os.ReadFile(shop)
	if err != nil {
		t.Fatal(err)
	}
	larger := strings.NewReplacer(`"max_body_bytes": 65536`, `"max_body_bytes": 4194304`, `"timeout_ms": 10000`, `"timeout_ms": 30000`, `"timeout_ms": 2000`, `"timeout_ms": 30000`)
	if err := os.WriteFile(shop, []byte(larger.Replace(string(content))), 0o600); err != nil {
		t.Fatal(err)
	}
	f := proctest.NewFleet(dir, binaries)
	t.Cleanup(f.Close)
	for i, service := range []string{"glazenpot/shop", "glazenpot/intake"} {
		f.StartLocalServer(fmt.Sprint("server-", i), "zone-a", service, backend.Options{QueueLength: 64})
	}
	if _, err := f.RunCtl(t.Context(), "publish", branches, "--publisher", "glazenpot/test"); err != nil {
		t.Fatal(err)
	}
	f.MemoryLimitMB, f.Descriptors = daemonSoftMB, descriptors
	e, err := f.StartEntry("entry-1", "zone-a")
	if err != nil {
		t.Fatal(err)
	}
	callers, statusAddress := e.VM.Address, e.VM.StatusAddress
	s := &site{
		pid: e.PID(), ended: e.Ended(), log: e.LogFile(), peers: e.VM.PeerAddress,
		places: []place{
			{name: "route", address: callers, host: shopHost, path: "/orders", upload: true},
			{name: "upload route", address: callers, host: intakeHost, path: "/scans/1", upload: true},
			{name: "large responses", address: callers, host: shopHost, path: "/kits", padded: true},
			{name: "no route", address: callers, host: "nowhere.example", path: "/nowhere", upload: true},
			{name: "endpoint list", address: callers, host: callers, path: "/chestnut/v1/entries"},
			{name: "readiness", address: statusAddress, host: statusAddress, path: "/readyz"},
			{name: "status", address: statusAddress, host: statusAddress, path: "/status"},
			{name: "metrics", address: statusAddress, host: statusAddress, path: "/metrics", padded: true},
		},
		ordinary: map[string]func() error{
			"request without a body": get(callers, shopHost, "/kits"),
			"request with a body":    func() error { return order(callers) },
			"endpoint list":          get(callers, "", "/chestnut/v1/entries"),
			"readiness check":        get(statusAddress, "", "/readyz"),
			"metrics":                get(statusAddress, "", "/metrics"),
		},
	}
	s.awaitOrdinary(t)
	return s
}

var orders int

// order sends an order, with an operation id of its own.
func order(callers string) error {
	list, err := request(http.MethodGet, callers, "", "/chestnut/v1/entries", "", nil)
	if err != nil {
		return err
	}
	var endpoints struct{ Entries []struct{ Ticket string } }
	if err := json.Unmarshal([]byte(list), &endpoints); err != nil {
		return err
	}
	if len(endpoints.Entries) == 0 {
		return errors.New("empty endpoint list")
	}
	orders++
	header := http.Header{"Chestnut-Operation": {fmt.Sprintf("%s.%032x", endpoints.Entries[0].Ticket, orders)}}
	_, err = request(http.MethodPost, callers, shopHost, "/orders", strings.Repeat("x", 2000), header)
	return err
}

// awaitOrdinary waits until a started process answers all ordinary requests.
func (s *site) awaitOrdinary(t *testing.T) {
	t.Helper()
	var failed string
	err := proctest.Until(t.Context(), startTimeout, func() bool {
		for name, send := range s.ordinary {
			if err := send(); err != nil {
				failed = name + ": " + err.Error()
				return false
			}
		}
		return true
	})
	if err != nil {
		t.Fatalf("not ready: %v: %s\n%s", err, failed, s.logEnd())
	}
}

// logEnd returns the end of the process's log.
func (s *site) logEnd() string {
	content, err := os.ReadFile(s.log)
	if err != nil {
		return err.Error()
	}
	return string(content[max(0, len(content)-2000):])
}
