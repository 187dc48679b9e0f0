package main

import (
	"bufio"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http/httptest"
	"os"
	"os/exec"
	"time"

	"chestnutrouter.example/chestnutrouter/internal/fleet"
	standin "chestnutrouter.example/chestnutrouter/standin/logservice"
)

const (
	// benchService is the service of all backend servers in the VM list.
	benchService = "glazenpot/shop"
	// zoneCount is the number of availability zones.
	zoneCount = 8
	// startTimeout bounds the start of one run.
	startTimeout = time.Minute
	// appliedTimeout bounds the time until an entry applies a configuration.
	appliedTimeout = 30 * time.Second
)

// nodeFleet runs a stand-in platform and entry processes without the request path.
type nodeFleet struct {
	opts     options
	platform *standin.Server
	server   *httptest.Server
	children []*child
}

// child is one entry process.
type child struct {
	vm       fleet.VM
	cmd      *exec.Cmd
	stdin    io.WriteCloser
	messages chan message
}

func startNodes(opts options, n int) (*nodeFleet, error) {
	f := &nodeFleet{opts: opts, platform: standin.New()}
	f.server = httptest.NewServer(f.platform)
	f.platform.SetFaults(standin.Faults{OmitVMListETag: opts.plain})
	for i := range n {
		if err := f.startChild(i); err != nil {
			f.stop()
			return nil, err
		}
	}
	f.platform.SetVMs(f.vms())
	if err := f.awaitCluster(); err != nil {
		f.stop()
		return nil, err
	}
	return f, nil
}

func (f *nodeFleet) url() string { return f.server.URL }

func (f *nodeFleet) count() int { return len(f.children) }

func (f *nodeFleet) vms() []fleet.VM {
	var out []fleet.VM
	for _, c := range f.children {
		out = append(out, c.vm)
	}
	for i := range f.opts.servers {
		out = append(out, fleet.VM{
			Name:    fmt.Sprintf("server-%04d", i),
			Address: fmt.Sprintf("10.0.%d.%d:8080", i/200, i%200),
			Zone:    fmt.Sprint("zone-", i%zoneCount),
			Service: benchService,
			State:   fleet.Live,
		})
	}
	return out
}

func (f *nodeFleet) startChild(i int) error {
	cmd, err := nodeCommand()
	if err != nil {
		return err
	}
	cmd.Stderr = os.Stderr
	stdin, err := cmd.StdinPipe()
	if err != nil {
		return err
	}
	stdout, err := cmd.StdoutPipe()
	if err != nil {
		return err
	}
	if err := cmd.Start(); err != nil {
		return err
	}
	c := &child{cmd: cmd, stdin: stdin, messages: make(chan message, 1024)}
	f.children = append(f.children, c)
	go c.read(stdout)
	c.vm = fleet.VM{
		Name:    fmt.Sprintf("entry-%03d", i),
		Address: fmt.Sprintf("10.1.0.%d:80", i),
		Zone:    fmt.Sprint("zone-", i%zoneCount),
		Service: fleet.EntryService,
		State:   fleet.Live,
	}
	settings, err := json.Marshal(nodeSettings{VM: c.vm, Platform: f.server.URL})
	if err != nil {
		return err
	}
	if _, err := stdin.Write(append(settings, '\n')); err != nil {
		return err
	}
	m, err := c.await(startTimeout, func(m message) bool { return m.PeerAddress != "" })
	c.vm.PeerAddress = m.PeerAddress
	return err
}

func (c *child) read(stdout io.Reader) {
	defer close(c.messages)
	lines := bufio.NewScanner(stdout)
	for lines.Scan() {
		var m message
		if json.Unmarshal(lines.Bytes(), &m) == nil {
			c.messages <- m
		}
	}
}

var errNoMessage = errors.New("the entry process exited or did not send the expected message in time")

// await returns the next message for which wanted is true and drops the others.
func (c *child) await(timeout time.Duration, wanted func(message) bool) (message, error) {
	timer := time.NewTimer(timeout)
	defer timer.Stop()
	for {
		select {
		case m, ok := <-c.messages:
			if !ok {
				return m, errNoMessage
			}
			if wanted(m) {
				return m, nil
			}
		case <-timer.C:
			return message{}, errNoMessage
		}
	}
}

func (c *child) usage() (*usage, error) {
	if _, err := c.stdin.Write([]byte("usage\n")); err != nil {
		return nil, err
	}
	m, err := c.await(startTimeout, func(m message) bool { return m.Usage != nil })
	return m.Usage, err
}

// awaitCluster returns when every entry sees all of them.
func (f *nodeFleet) awaitCluster() error {
	deadline := time.Now().Add(startTimeout)
	for _, c := range f.children {
		for {
			u, err := c.usage()
			if err != nil {
				return err
			}
			if u.Entries == len(f.children) && u.Servers == f.opts.servers {
				break
			}
			if time.Now().After(deadline) {
				return fmt.Errorf("%s does not see the complete fleet in time: it sees %d entries and %d servers", c.vm.Name, u.Entries, u.Servers)
			}
			time.Sleep(100 * time.Millisecond)
		}
	}
	return nil
}

// partitionHalf disconnects every second entry from the log service and the VM list.
func (f *nodeFleet) partitionHalf() {
	faults := standin.Faults{OmitVMListETag: f.opts.plain}
	for i, c := range f.children {
		if i%2 == 1 {
			faults.Disconnected = append(faults.Disconnected, c.vm.Name)
		}
	}
	f.platform.SetFaults(faults)
}

// stop stops the processes by closing their standard input.
func (f *nodeFleet) stop() {
	for _, c := range f.children {
		c.stdin.Close()
	}
	for _, c := range f.children {
		_ = c.cmd.Wait()
	}
	f.server.CloseClientConnections()
	f.server.Close()
}
