package proctest

import (
	"errors"
	"fmt"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"syscall"

	"chestnutrouter.example/chestnutrouter/internal/loopback"
	"chestnutrouter.example/chestnutrouter/standin/usersplatform"
)

// Gateways are entries of the users' platform as processes, next to a stand-in of its store.
type Gateways struct {
	// Store is the platform's store.
	Store *usersplatform.Store

	binaries Binaries
	dir      string
	terms    string
	ports    [gatewayPorts]uint16
	entries  []*Gateway
}

// Gateway is an entry process of the users' platform.
type Gateway struct {
	// Name is the name of its VM.
	Name string
	// CallerAddress is its address for callers' requests.
	CallerAddress string
	// Endpoint is its way to the store.
	Endpoint *usersplatform.Endpoint

	settings, logFile, binary string
	cmd                       *exec.Cmd
	ended                     chan struct{} // closed when the process has ended
}

// The ports of an entry, the same at all entries, as seeds are named by their control addresses.
const (
	frontPort = iota
	readyPort
	controlPort
	directoryPort
	datagramPort
	gatewayPorts
)

// maxGateways is the number of loopback addresses that gatewayIP derives from the one that this
// process has for itself.
const maxGateways = 3

// errTooManyGateways is returned by Start beyond maxGateways.
var errTooManyGateways = errors.New("proctest: no loopback address is left for another gateway")

// NewGateways returns a group without entries. terms are further lines of the table terms.bounds of
// the settings.
func NewGateways(dir string, binaries Binaries, terms string) (*Gateways, error) {
	g := &Gateways{Store: usersplatform.NewStore(), binaries: binaries, dir: dir, terms: terms}
	for i := range g.ports {
		address, err := loopback.Next()
		if err != nil {
			return nil, err
		}
		g.ports[i] = address.Port()
	}
	return g, nil
}

// gatewayIP returns the IP address of an entry. Package loopback gives no process an address whose
// second number is above 127.
func gatewayIP(number int) (netip.Addr, error) {
	const perEntry = 64
	own, err := loopback.Next()
	if err != nil {
		return netip.Addr{}, err
	}
	ip := own.Addr().As4()
	ip[1] += byte(number * perEntry)
	return netip.AddrFrom4(ip), nil
}

// Start starts another entry, with the first one as its seed.
func (g *Gateways) Start() (*Gateway, error) {
	number := len(g.entries)
	if number >= maxGateways {
		return nil, errTooManyGateways
	}
	ip, err := gatewayIP(number)
	if err != nil {
		return nil, err
	}
	seed, err := gatewayIP(0)
	if err != nil {
		return nil, err
	}
	endpoint, err := g.Store.NewEndpoint()
	if err != nil {
		return nil, err
	}
	at := func(ip netip.Addr, port int) string { return netip.AddrPortFrom(ip, g.ports[port]).String() }
	name := fmt.Sprintf("gateway-%d", number)
	e := &Gateway{
		Name: name, CallerAddress: at(ip, frontPort), Endpoint: endpoint, binary: g.binaries.Router,
		settings: filepath.Join(g.dir, name+".toml"), logFile: filepath.Join(g.dir, name+".log"),
	}
	text := fmt.Sprintf(`
[self]
nodeId = %q
zone = "zone-%d"
ip = %q
bootstrap = false
[network]
internalPorts = [%d, %d]
seeds = [%q]
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
%s
`, name, number%2, ip, g.ports[datagramPort], g.ports[datagramPort], at(seed, controlPort), at(ip, frontPort), at(ip, readyPort),
		at(ip, controlPort), at(ip, directoryPort), endpoint.Address, g.terms)
	if err := os.WriteFile(e.settings, []byte(text), 0o600); err != nil {
		return nil, err
	}
	g.entries = append(g.entries, e)
	return e, e.Restart()
}

// Close kills all entries and closes their endpoints.
func (g *Gateways) Close() {
	for _, e := range g.entries {
		e.Kill()
		e.Endpoint.Close()
	}
}

// Restart starts the entry again after it has ended, with the same settings.
func (e *Gateway) Restart() error {
	log, err := os.OpenFile(e.logFile, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	cmd := exec.Command(e.binary, "gateway", "--settings", e.settings)
	cmd.Stdout, cmd.Stderr = log, log
	OwnGroup(cmd)
	if err := cmd.Start(); err != nil {
		return errors.Join(err, log.Close())
	}
	ended := make(chan struct{})
	e.cmd, e.ended = cmd, ended
	go func() {
		_ = cmd.Wait() // cmd keeps the exit state
		_ = log.Close()
		close(ended)
	}()
	return nil
}

// Kill kills the process, also a paused one, and waits for its end. It has no effect on a process
// that has ended.
func (e *Gateway) Kill() {
	if e.cmd == nil {
		return
	}
	// The only possible error is that the process has already ended.
	_ = e.cmd.Process.Signal(syscall.SIGKILL)
	<-e.ended
}

// Pause suspends the process until Resume. When it returns, the process is suspended.
func (e *Gateway) Pause() error { return pause(e.cmd.Process) }

// Resume lets a paused process continue.
func (e *Gateway) Resume() error { return e.cmd.Process.Signal(syscall.SIGCONT) }

// Log returns what the entry has logged so far, in all its starts.
func (e *Gateway) Log() (string, error) {
	data, err := os.ReadFile(e.logFile)
	return string(data), err
}
