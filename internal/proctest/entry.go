package proctest

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"syscall"
	"time"

	"chestnutrouter.example/chestnutrouter/internal/fleet"
	"chestnutrouter.example/chestnutrouter/internal/settings"
	"chestnutrouter.example/chestnutrouter/internal/status"
)

const (
	// readyTimeout bounds the time until a started entry is ready.
	readyTimeout = 20 * time.Second
	// Short times, so that entries shut down gracefully within a short time.
	addressTTLMs = 300
	keepAliveMs  = 300
	drainLimitMs = 10_000
	// logEndBytes bounds how much of an ended entry's log an error shows.
	logEndBytes = 1000
)

// Entry is an entry process.
type Entry struct {
	// VM is the entry's row of the VM list.
	VM fleet.VM
	// Settings are the contents of its settings file.
	Settings settings.Settings

	fleet *Fleet
	cmd   *exec.Cmd
	log   *os.File
	ended chan struct{} // closed when the process has ended
}

// StartEntry starts an entry on free ports with the running entries as its peers,
// and adds it to the VM list. It does not wait until the entry is ready.
func (f *Fleet) StartEntry(name, zone string) (*Entry, error) {
	addresses, err := freeAddresses(3)
	if err != nil {
		return nil, err
	}
	e := &Entry{fleet: f, VM: fleet.VM{
		Name:          name,
		Address:       addresses[0],
		PeerAddress:   addresses[1],
		StatusAddress: addresses[2],
		Zone:          zone,
		Service:       fleet.EntryService,
		State:         fleet.Live,
	}}
	e.Settings = settings.Default()
	e.Settings.VM = name
	e.Settings.Zone = zone
	e.Settings.CallerAddress = addresses[0]
	e.Settings.PeerAddress = addresses[1]
	e.Settings.StatusAddress = addresses[2]
	e.Settings.PlatformEndpoints = []string{f.PlatformURL}
	e.Settings.Peers = []string{}
	e.Settings.AddressTTLMs = addressTTLMs
	e.Settings.KeepAliveMs = keepAliveMs
	e.Settings.DrainLimitMs = drainLimitMs
	if f.AddressTTL > 0 {
		e.Settings.AddressTTLMs = f.AddressTTL.Milliseconds()
	}
	if f.MemoryLimitMB > 0 {
		e.Settings.MemoryLimitMB = f.MemoryLimitMB
	}
	for _, other := range f.Entries() {
		e.Settings.Peers = append(e.Settings.Peers, other.VM.PeerAddress)
	}
	f.PutVM(e.VM)
	return e, e.start()
}

// Restart starts the entry again after it has ended, with the same settings.
func (e *Entry) Restart() error { return e.start() }

func (e *Entry) start() error {
	data, err := json.MarshalIndent(e.Settings, "", "  ")
	if err != nil {
		return err
	}
	file := filepath.Join(e.fleet.dir, e.VM.Name+".jsonc")
	if err := os.WriteFile(file, data, 0o600); err != nil {
		return err
	}
	e.log, err = os.OpenFile(e.LogFile(), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	e.cmd = Command(e.fleet.Descriptors, e.fleet.binaries.Router, "--settings", file)
	e.cmd.Stdout, e.cmd.Stderr = e.log, e.log
	OwnGroup(e.cmd)
	if err := e.cmd.Start(); err != nil {
		return err
	}
	e.ended = make(chan struct{})
	e.fleet.addEntry(e)
	go func(cmd *exec.Cmd, ended chan struct{}) {
		_ = cmd.Wait() // cmd keeps the exit state
		close(ended)
	}(e.cmd, e.ended)
	return nil
}

// LogFile returns the path of the entry's log.
func (e *Entry) LogFile() string { return filepath.Join(e.fleet.dir, e.VM.Name+".log") }

// WaitReady returns when the entry has applied a configuration. The error wraps
// ErrTimeout if that takes longer than readyTimeout.
func (e *Entry) WaitReady(ctx context.Context) error {
	err := Until(ctx, readyTimeout, func() bool { return e.statusCode("/readyz") == http.StatusOK })
	if err != nil {
		return fmt.Errorf("%s is not ready: %w\n%s", e.VM.Name, err, e.fleet.describeEnded())
	}
	return nil
}

// logEnd returns the end of the entry's log, or why it can't be read.
func (e *Entry) logEnd() string {
	content, err := os.ReadFile(e.LogFile())
	if err != nil {
		return err.Error()
	}
	return string(content[max(0, len(content)-logEndBytes):])
}

// Status returns the entry's status page.
func (e *Entry) Status() (status.Report, error) {
	var report status.Report
	resp, err := statusClient.Get("http://" + e.VM.StatusAddress + "/status")
	if err != nil {
		return report, err
	}
	defer resp.Body.Close()
	return report, json.NewDecoder(resp.Body).Decode(&report)
}

func (e *Entry) statusCode(path string) int {
	resp, err := statusClient.Get("http://" + e.VM.StatusAddress + path)
	if err != nil {
		return 0
	}
	resp.Body.Close()
	return resp.StatusCode
}

// Kill kills the process and waits for its end. It has no effect on a process that
// has ended.
func (e *Entry) Kill() { e.terminate(syscall.SIGKILL) }

// Stop shuts the entry down gracefully and waits for its end.
func (e *Entry) Stop() { e.terminate(syscall.SIGTERM) }

// StartShutdown starts a graceful shutdown of the entry and does not wait for its end.
func (e *Entry) StartShutdown() error { return e.cmd.Process.Signal(syscall.SIGTERM) }

// Pause suspends the process until Resume. When it returns, the process is suspended.
func (e *Entry) Pause() error { return pause(e.cmd.Process) }

// Resume lets a paused process continue.
func (e *Entry) Resume() error { return e.cmd.Process.Signal(syscall.SIGCONT) }

// Ended returns a channel that is closed when the process has ended.
func (e *Entry) Ended() <-chan struct{} { return e.ended }

// PID returns the id of the process.
func (e *Entry) PID() int { return e.cmd.Process.Pid }

// ExitCode returns the exit code after the process has ended.
func (e *Entry) ExitCode() int { return e.cmd.ProcessState.ExitCode() }

func (e *Entry) terminate(signal syscall.Signal) {
	// The only possible error is that the process has already ended.
	_ = e.cmd.Process.Signal(signal)
	<-e.ended
	e.log.Close()
	e.fleet.removeEntry(e)
}
