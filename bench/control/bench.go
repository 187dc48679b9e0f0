package main

import (
	"bufio"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http/httptest"
	"os"
	"os/exec"
	"time"

	"chestnutrouter.example/chestnutrouter/internal/fleet"
	"chestnutrouter.example/chestnutrouter/internal/fold"
	"chestnutrouter.example/chestnutrouter/internal/platform"
	"chestnutrouter.example/chestnutrouter/internal/tree"
	standin "chestnutrouter.example/chestnutrouter/standin/platform"
)

const (
	// benchService is the service of all backend servers in the VM list.
	benchService = "glazenpot/shop"
	// changedBranch is the branch that each append changes.
	changedBranch = tree.Branch("/glazenpot/intake")
	// zones is the number of availability zones.
	zones = 8
	// startTimeout bounds the start of one run.
	startTimeout = time.Minute
	// appliedTimeout bounds the time until a configuration is in force.
	appliedTimeout = 30 * time.Second
)

// bench is a stand-in platform and the entry processes.
type bench struct {
	opts     options
	platform *standin.Server
	server   *httptest.Server
	log      *platform.HTTP
	state    *fold.State // of the records appended here
	children []*child
}

// child is one entry process.
type child struct {
	vm       fleet.VM
	cmd      *exec.Cmd
	stdin    io.WriteCloser
	messages chan message
}

func startBench(opts options, n int) (*bench, error) {
	b := &bench{opts: opts, platform: standin.New(), state: fold.Empty()}
	b.server = httptest.NewServer(b.platform)
	b.log = platform.NewHTTP([]string{b.server.URL}, platform.Options{Client: "operator"})
	b.platform.SetFaults(standin.Faults{PlainVMs: opts.plain})
	if err := b.found(); err != nil {
		b.stop()
		return nil, err
	}
	for i := range n {
		if err := b.startChild(i); err != nil {
			b.stop()
			return nil, err
		}
	}
	b.platform.SetVMs(b.vms())
	if err := b.awaitFleet(); err != nil {
		b.stop()
		return nil, err
	}
	return b, nil
}

// found publishes the tree.
func (b *bench) found() error {
	docs, findings := tree.ReadFS(os.DirFS(b.opts.tree), b.opts.tree)
	if len(findings) > 0 {
		return findings
	}
	p := fold.Publish{Branch: string(tree.Root), Publisher: "glazenpot", PublishID: "founding"}
	for branch, doc := range docs {
		if branch == tree.Root {
			p.Content = doc.Content
			continue
		}
		p.Children = append(p.Children, fold.Child{Branch: string(branch), Content: doc.Content})
	}
	return b.append(p)
}

// change publishes the changed branch with another comment.
func (b *bench) change() error {
	inForce, ok := b.state.Branch(changedBranch)
	if !ok {
		return fmt.Errorf("the tree has no %s", changedBranch)
	}
	n := b.state.Offset()
	return b.append(fold.Publish{
		Branch:       string(changedBranch),
		BaseRevision: inForce.Revision,
		Content:      fmt.Sprintf("// change %d\n%s", n, inForce.Content),
		Publisher:    "glazenpot",
		PublishID:    fmt.Sprint("change-", n),
	})
}

func (b *bench) append(p fold.Publish) error {
	data, err := fold.NewPublish(p).Encode()
	if err != nil {
		return err
	}
	offset, err := b.log.Append(context.Background(), platform.StreamConfig, data)
	if err != nil {
		return err
	}
	next, decision := b.state.Apply(offset, data)
	b.state = next
	if decision.Outcome != fold.Accepted {
		return fmt.Errorf("record not in force: %s %s", decision, decision.Findings)
	}
	return nil
}

func (b *bench) vms() []fleet.VM {
	var out []fleet.VM
	for _, c := range b.children {
		out = append(out, c.vm)
	}
	for i := range b.opts.servers {
		out = append(out, fleet.VM{
			Name:    fmt.Sprintf("server-%04d", i),
			Address: fmt.Sprintf("10.0.%d.%d:8080", i/200, i%200),
			Zone:    fmt.Sprint("zone-", i%zones),
			Service: benchService,
			State:   fleet.Live,
		})
	}
	return out
}

func (b *bench) startChild(i int) error {
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
	b.children = append(b.children, c)
	go c.read(stdout)
	c.vm = fleet.VM{
		Name:    fmt.Sprintf("entry-%03d", i),
		Address: fmt.Sprintf("10.1.0.%d:80", i),
		Zone:    fmt.Sprint("zone-", i%zones),
		Service: fleet.EntryService,
		State:   fleet.Live,
	}
	settings, err := json.Marshal(nodeSettings{VM: c.vm, Platform: b.server.URL})
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

var errNoMessage = errors.New("an entry process did not answer in time")

// await returns the next message that is wanted; others are dropped.
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

// awaitFleet returns when every entry names all of them.
func (b *bench) awaitFleet() error {
	deadline := time.Now().Add(startTimeout)
	for _, c := range b.children {
		for {
			u, err := c.usage()
			if err != nil {
				return err
			}
			if u.AddressAnswer == len(b.children) && u.Servers == b.opts.servers {
				break
			}
			if time.Now().After(deadline) {
				return fmt.Errorf("%s sees %d entries and %d servers", c.vm.Name, u.Entries, u.Servers)
			}
			time.Sleep(100 * time.Millisecond)
		}
	}
	return nil
}

// cutHalf cuts every second entry off the log service and the VM list.
func (b *bench) cutHalf() {
	f := standin.Faults{PlainVMs: b.opts.plain}
	for i, c := range b.children {
		if i%2 == 1 {
			f.Cut = append(f.Cut, c.vm.Name)
		}
	}
	b.platform.SetFaults(f)
}

// stop ends the processes, each by the end of its input.
func (b *bench) stop() {
	for _, c := range b.children {
		c.stdin.Close()
	}
	for _, c := range b.children {
		_ = c.cmd.Wait()
	}
	b.log.Close()
	b.server.CloseClientConnections()
	b.server.Close()
}
