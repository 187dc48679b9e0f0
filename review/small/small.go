// Package small starts a small deployment for the cases of the second review: entries as processes,
// with the command of the deploy file, on loopback addresses, beside a stand-in of the platform's
// store. Backend servers and callers belong to the cases.
package small

import (
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"chestnutrouter.example/chestnutrouter/internal/loopback"
	"chestnutrouter.example/chestnutrouter/standin/usersplatform"
)

// Exit codes of a case.
const (
	ExitHeld   = 0
	ExitBroken = 1
	ExitNotRun = 2
)

// Trouble reports whether the case plays its disruption.
func Trouble() bool { return os.Getenv("TROUBLE") != "0" }

// Record is the record of a case: what was sent, answered and run.
type Record struct {
	mu    sync.Mutex
	file  *os.File
	began time.Time
}

// NewRecord creates the record in a file.
func NewRecord(path string) (*Record, error) {
	file, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &Record{file: file, began: time.Now()}, nil
}

// Line writes a line with the time since the start of the case.
func (r *Record) Line(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.file, "%9.4f "+format+"\n", append([]any{time.Since(r.began).Seconds()}, args...)...)
}

// Options describe the machines of a deployment.
type Options struct {
	Entries     int
	MemoryMB    int
	Descriptors int
	// Bounds are the lines of the table terms.bounds.
	Bounds string
}

// Deployment is a group of entries with their store.
type Deployment struct {
	Store   *usersplatform.Store
	Entries []*Entry

	options Options
	dir     string
	record  *Record
}

// Entry is one entry process.
type Entry struct {
	Name, Front, Ready, Directory string
	Endpoint                      *usersplatform.Endpoint

	settings, log string
	cmd           *exec.Cmd
	ended         chan struct{}
}

// ports of an entry, the same on all machines.
type ports struct{ front, ready, control, directory, internal int }

// New prepares a deployment. dir is a temporary folder for settings and logs.
func New(dir string, record *Record, o Options) (*Deployment, error) {
	d := &Deployment{Store: usersplatform.NewStore(), options: o, dir: dir, record: record}
	base, err := loopback.Next()
	if err != nil {
		return nil, err
	}
	first := int(base.Port()) + 10
	p := ports{first, first + 1, first + 2, first + 3, first + 4}
	ips := make([]string, o.Entries)
	ip4 := base.Addr().As4()
	for i := range ips {
		ips[i] = fmt.Sprintf("127.%d.%d.%d", 200+i, ip4[2], ip4[3])
	}
	var seeds []string
	for _, ip := range ips[:min(3, len(ips))] {
		seeds = append(seeds, strconv.Quote(net.JoinHostPort(ip, strconv.Itoa(p.control))))
	}
	for i, ip := range ips {
		e, err := d.prepare(i, ip, p, seeds)
		if err != nil {
			return nil, err
		}
		d.Entries = append(d.Entries, e)
	}
	return d, nil
}

func (d *Deployment) prepare(i int, ip string, p ports, seeds []string) (*Entry, error) {
	endpoint, err := d.Store.NewEndpoint()
	if err != nil {
		return nil, err
	}
	at := func(port int) string { return net.JoinHostPort(ip, strconv.Itoa(port)) }
	name := fmt.Sprintf("front-%d", i+1)
	e := &Entry{
		Name: name, Front: at(p.front), Ready: at(p.ready), Directory: at(p.directory), Endpoint: endpoint,
		settings: filepath.Join(d.dir, name+".toml"), log: filepath.Join(d.dir, name+".log"),
	}
	text := fmt.Sprintf(`
[self]
nodeId = %q
role = "entry"
machineClass = "front"
serves = ["front","control","directory"]
ip = %q
zone = "zone-a"
region = "region"
bootstrap = false
[self.limits]
cpuShare = 1.0
cores = 1
memoryMb = %d
maxFds = %d
[network]
internalPorts = [%d, %d]
seeds = [%s]
[network.listen]
front = %q
ready = %q
control = %q
directory = %q
[network.zones]
zone-a = "region"
[platform.platform]
address = %q
form = "log"
[terms.bounds]
%s
`, name, ip, d.options.MemoryMB, d.options.Descriptors, p.internal, p.internal+5, strings.Join(seeds, ","),
		e.Front, e.Ready, at(p.control), e.Directory, endpoint.Address, d.options.Bounds)
	return e, os.WriteFile(e.settings, []byte(text), 0o600)
}

// Start starts the process of an entry with the command of the deploy file.
func (d *Deployment) Start(e *Entry) error {
	log, err := os.OpenFile(e.log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	cmd := exec.Command("target/chestnutrouter", "gateway")
	cmd.Env = append(os.Environ(), "CHESTNUTROUTER_CONFIG="+e.settings)
	cmd.Stdout, cmd.Stderr = log, log
	cmd.SysProcAttr = &syscall.SysProcAttr{Setpgid: true}
	if err := cmd.Start(); err != nil {
		_ = log.Close()
		return err
	}
	ended := make(chan struct{})
	e.cmd, e.ended = cmd, ended
	d.record.Line("%s started, process %d", e.Name, cmd.Process.Pid)
	go func() {
		_ = cmd.Wait()
		_ = log.Close()
		d.record.Line("%s ended: %v", e.Name, cmd.ProcessState)
		close(ended)
	}()
	return nil
}

// StartAll starts all entries and waits until they say that they are ready.
func (d *Deployment) StartAll() error {
	for _, e := range d.Entries {
		if err := d.Start(e); err != nil {
			return err
		}
	}
	for _, e := range d.Entries {
		if !e.WaitReady(10 * time.Second) {
			return fmt.Errorf("%s is not ready", e.Name)
		}
	}
	return nil
}

// Signal sends a signal to the entry's process.
func (e *Entry) Signal(s syscall.Signal) { _ = e.cmd.Process.Signal(s) }

// PID returns the id of the entry's process.
func (e *Entry) PID() int { return e.cmd.Process.Pid }

// Ended returns a channel that is closed when the process has ended.
func (e *Entry) Ended() <-chan struct{} { return e.ended }

// Log returns what the entry has logged.
func (e *Entry) Log() string {
	data, _ := os.ReadFile(e.log)
	return string(data)
}

// Close ends all processes and the store.
func (d *Deployment) Close() {
	for _, e := range d.Entries {
		if e.cmd == nil {
			continue
		}
		e.Signal(syscall.SIGKILL)
		<-e.ended
	}
	for _, e := range d.Entries {
		e.Endpoint.Close()
	}
}

// IsReady asks the entry once whether it is ready, as the platform does.
func (e *Entry) IsReady() bool {
	conn, err := net.DialTimeout("tcp", e.Ready, time.Second)
	if err != nil {
		return false
	}
	defer conn.Close()
	_ = conn.SetDeadline(time.Now().Add(time.Second))
	fmt.Fprintf(conn, "GET /chestnutrouter/ready HTTP/1.1\r\nHost: %s\r\nConnection: close\r\n\r\n", e.Ready)
	buf := make([]byte, 12)
	n, _ := conn.Read(buf)
	return n == 12 && string(buf) == "HTTP/1.1 200"
}

// WaitReady waits until the entry says that it is ready.
func (e *Entry) WaitReady(most time.Duration) bool {
	for deadline := time.Now().Add(most); time.Now().Before(deadline); time.Sleep(50 * time.Millisecond) {
		if e.IsReady() {
			return true
		}
	}
	return false
}

// Memory returns the physical memory of a process, now and at most, in bytes.
func Memory(pid int) (now, most int64) {
	status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0, 0
	}
	for line := range strings.Lines(string(status)) {
		for name, to := range map[string]*int64{"VmHWM:": &most, "VmRSS:": &now} {
			if value, ok := strings.CutPrefix(line, name); ok {
				kb, _ := strconv.ParseInt(strings.TrimSpace(strings.TrimSuffix(strings.TrimSpace(value), "kB")), 10, 64)
				*to = kb << 10
			}
		}
	}
	return now, most
}
