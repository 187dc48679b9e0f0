package proctest

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"net/http/httptest"
	"os/exec"
	"slices"
	"strings"
	"sync"
	"time"

	"chestnutrouter.example/chestnutrouter/internal/fleet"
	"chestnutrouter.example/chestnutrouter/internal/logservice"
	"chestnutrouter.example/chestnutrouter/internal/loopback"
	"chestnutrouter.example/chestnutrouter/standin/backend"
	standin "chestnutrouter.example/chestnutrouter/standin/logservice"
)

// Fleet is a platform and backend servers, faked in this process, and entries as
// separate processes. It is safe for concurrent use.
type Fleet struct {
	// Platform is the stand-in log service and VM list.
	Platform *standin.Server
	// PlatformURL is its base URL.
	PlatformURL string
	// Log is a client of the log service, named "operator".
	Log *logservice.Client
	// AddressTTL is how long callers cache the endpoint list from entries that are
	// started from now on; zero means 300 ms.
	AddressTTL time.Duration
	// MemoryLimitMB and Descriptors are limits of entries that are started from now on: the
	// setting of that name, and the open descriptors of the process; zero means the default.
	MemoryLimitMB, Descriptors int64

	dir      string
	binaries Binaries
	server   *httptest.Server

	mu       sync.Mutex // guards the fields below
	vms      []fleet.VM
	entries  []*Entry
	backends []*httptest.Server
}

// NewFleet returns a fleet with an empty log and no VMs. It writes the settings and
// logs of entries to the directory.
func NewFleet(dir string, b Binaries) *Fleet {
	f := &Fleet{Platform: standin.New(), dir: dir, binaries: b}
	f.server = httptest.NewServer(f.Platform)
	f.PlatformURL = f.server.URL
	f.Log = logservice.NewClient([]string{f.PlatformURL}, logservice.Options{ClientName: "operator"})
	return f
}

// Close kills the entries that still run and stops the stand-ins.
func (f *Fleet) Close() {
	f.mu.Lock()
	entries, backends := slices.Clone(f.entries), slices.Clone(f.backends)
	f.mu.Unlock()
	for _, e := range entries {
		e.Kill()
	}
	for _, s := range append(backends, f.server) {
		s.CloseClientConnections()
		s.Close()
	}
	f.Log.Close()
}

// StartLocalServer starts a stand-in backend server in this process and adds it to
// the VM list.
func (f *Fleet) StartLocalServer(name, zone, service string, opts backend.Options) *backend.Server {
	opts.Name = name
	b := backend.New(opts)
	server := httptest.NewServer(b)
	vm := fleet.VM{
		Name:    name,
		Address: server.Listener.Addr().String(),
		Zone:    zone,
		Service: service,
		State:   fleet.Live,
	}
	f.mu.Lock()
	f.backends = append(f.backends, server)
	f.mu.Unlock()
	f.PutVM(vm)
	return b
}

// PutVM adds a VM to the VM list or replaces the one with the same name.
func (f *Fleet) PutVM(vm fleet.VM) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.vms = slices.DeleteFunc(slices.Clone(f.vms), func(old fleet.VM) bool { return old.Name == vm.Name })
	f.vms = append(f.vms, vm)
	f.Platform.SetVMs(f.vms)
}

// RemoveVM removes a VM from the VM list.
func (f *Fleet) RemoveVM(name string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.vms = slices.DeleteFunc(slices.Clone(f.vms), func(old fleet.VM) bool { return old.Name == name })
	f.Platform.SetVMs(f.vms)
}

// Entries returns the entries that were started and not stopped.
func (f *Fleet) Entries() []*Entry {
	f.mu.Lock()
	defer f.mu.Unlock()
	return slices.Clone(f.entries)
}

func (f *Fleet) addEntry(e *Entry) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.entries = append(f.entries, e)
}

func (f *Fleet) removeEntry(e *Entry) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.entries = slices.DeleteFunc(f.entries, func(other *Entry) bool { return other == e })
}

// RunCtl runs chestnutctl with the platform's address and returns its output,
// standard error included.
func (f *Fleet) RunCtl(ctx context.Context, args ...string) (string, error) {
	args = append(args, "--platform", f.PlatformURL)
	output, err := exec.CommandContext(ctx, f.binaries.Ctl, args...).CombinedOutput()
	if err != nil {
		return string(output), fmt.Errorf("chestnutctl %v: %w\n%s%s", args, err, output, f.describeEnded())
	}
	return string(output), nil
}

// describeEnded returns a line for each entry whose process ended without Stop or Kill,
// with its exit code and the end of its log.
func (f *Fleet) describeEnded() string {
	var lines strings.Builder
	for _, e := range f.Entries() {
		select {
		case <-e.ended:
			fmt.Fprintf(&lines, "%s has ended with exit code %d: %s\n", e.VM.Name, e.ExitCode(), e.logEnd())
		default:
		}
	}
	return lines.String()
}

// freeAddresses returns loopback addresses that nobody else takes.
func freeAddresses(n int) ([]string, error) {
	out := make([]string, n)
	for i := range out {
		address, err := loopback.Next()
		if err != nil {
			return nil, err
		}
		out[i] = address.String()
	}
	return out, nil
}

// ErrTimeout means that a condition did not become true before the timeout.
var ErrTimeout = errors.New("proctest: condition did not become true before the timeout")

// Until polls a condition until it is true. It returns ErrTimeout after the timeout
// and the error of ctx if that ends first.
func Until(ctx context.Context, timeout time.Duration, condition func() bool) error {
	deadline := time.Now().Add(timeout)
	for !condition() {
		if ctx.Err() != nil {
			return ctx.Err()
		}
		if time.Now().After(deadline) {
			return ErrTimeout
		}
		time.Sleep(20 * time.Millisecond)
	}
	return nil
}

// statusClient requests the status and readiness pages of entries.
var statusClient = &http.Client{Timeout: 2 * time.Second}
