package soak

import (
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"sync"
	"syscall"
	"testing"
	"time"

	"chestnutrouter.example/chestnutrouter/internal/proctest"
	"chestnutrouter.example/chestnutrouter/standin/usersplatform"
)

const (
	serverCount = 3 // of each service
	host        = "soak.example"
	// grace is the time from SIGTERM to SIGKILL, also in the settings of the entries.
	grace = 3 * time.Second
	// slowService has servers that take slowServiceTime, and routes with slowTimeout.
	slowService     = "slow"
	slowServiceTime = 350 * time.Millisecond
	slowTimeout     = 2500 * time.Millisecond
)

// world is the cluster of one run: entry processes, backend servers and the store.
type world struct {
	t       *testing.T
	dir     string
	binary  string
	store   *usersplatform.Store
	entries []*entry
	checker *checker

	mu      sync.Mutex // guards the fields below
	servers []*server
	nextID  int
	callers int // that ran beside the usual ones
	version int
	// tenants are in the configuration; keys are all that were ever in it.
	tenants     []*tenant
	keys        []*tenantKey
	evacuations []evacuation
	storeDown   []interval // when no entry can reach the store
	evacuateMu  sync.Mutex // held while a zone is evacuated, so that the other one serves
}

// entry is one entry process with its listen addresses, its endpoint of the store and
// the proxy in front of that.
type entry struct {
	name, ip, zone            string
	callers, ready, directory string
	control                   string
	internalPort              int
	settings                  string
	endpoint                  *usersplatform.Endpoint
	storeProxy                *proxy
	world                     *world
	// restartMu is held from the end of a process to the start of the next, so that
	// two concurrent faults never start two processes. It is locked before mu.
	restartMu   sync.Mutex
	mu          sync.Mutex // guards the fields below
	cmd         *exec.Cmd
	ended       chan struct{}
	starts      int
	disruptions []interval
	stops       []interval // from SIGTERM until the next process serves
}

// interval is a time in which a fault of the entry excuses lost responses.
type interval struct{ from, until time.Time }

// server is a backend server behind a proxy, whose address it registers.
type server struct {
	*usersplatform.Server
	proxy *proxy
	colds []interval // when it was cold; guarded by world.mu
}

// Offsets of an entry's ports from the first one. As on the users' platform, all
// entries use the same ports; each has its own loopback address.
const (
	portCallers = iota
	portReady
	portControl
	portDirectory
	portInternal
	portsPerEntry
)

func entryIP(i int) string { return fmt.Sprintf("127.0.%d.%d", i/200, 10+i%200) }

// freePorts returns the first of portsPerEntry consecutive ports that are free at the
// addresses of all entries.
func freePorts(t *testing.T) int {
	t.Helper()
	for try := range 200 {
		// Stay below the ephemeral ports of outgoing connections.
		first := 12_000 + (os.Getpid()*37+try*portsPerEntry)%18_000
		if allFree(first) {
			return first
		}
	}
	t.Fatal("no free ports")
	return 0
}

func allFree(first int) bool {
	for i := range *entryCount {
		for p := range portsPerEntry {
			address := fmt.Sprintf("%s:%d", entryIP(i), first+p)
			l, err := net.Listen("tcp", address)
			if err != nil {
				return false
			}
			l.Close()
			c, err := net.ListenPacket("udp4", address)
			if err != nil {
				return false
			}
			c.Close()
		}
	}
	return true
}

func newWorld(t *testing.T, binary, dir string) *world {
	t.Helper()
	w := &world{t: t, dir: dir, binary: binary, store: usersplatform.NewStore(), checker: newChecker()}
	for _, service := range []string{"look", "once", slowService} {
		for range serverCount {
			w.addServer(service)
		}
	}
	w.addTenants()
	w.configure()
	first := freePorts(t)
	for i := range *entryCount {
		w.entries = append(w.entries, w.newEntry(i, first))
	}
	for _, e := range w.entries {
		e.writeSettings(w.entries[0], true)
		e.start()
	}
	return w
}

func (w *world) close() {
	for _, e := range w.entries {
		e.kill()
		e.storeProxy.close()
		e.endpoint.Close()
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, s := range w.servers {
		s.Close()
		s.proxy.close()
	}
}

// addServer starts a backend server that registers the address of its proxy.
func (w *world) addServer(service string) *server { return w.addColdServer(service, 0) }

// addColdServer starts one that is cold for that long.
func (w *world) addColdServer(service string, cold time.Duration) *server {
	w.mu.Lock()
	w.nextID++
	name := fmt.Sprintf("%s-%d", service, w.nextID)
	zone := fmt.Sprintf("z%d", w.nextID%2)
	w.mu.Unlock()
	p, err := newProxy("")
	if err != nil {
		w.t.Fatal(err)
	}
	began := time.Now()
	s, err := usersplatform.StartColdServer(w.store, p.address, cold, name, service, zone)
	if err != nil {
		w.t.Fatal(err)
	}
	p.setTarget(s.Listen)
	s.SetServiceTime(serviceTime(service), 100)
	added := &server{Server: s, proxy: p}
	if cold > 0 {
		added.colds = []interval{{began, began.Add(cold)}}
	}
	w.mu.Lock()
	w.servers = append(w.servers, added)
	w.mu.Unlock()
	return added
}

// proxies returns the proxies of the store and of all servers.
func (w *world) proxies() []*proxy {
	w.mu.Lock()
	defer w.mu.Unlock()
	var all []*proxy
	for _, e := range w.entries {
		all = append(all, e.storeProxy)
	}
	for _, s := range w.servers {
		all = append(all, s.proxy)
	}
	return all
}

// configure publishes the next version of the configuration, which has a route of its own.
func (w *world) configure() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.version += 1 + w.version%3
	w.store.PutJSON("keyed.op", "config", w.config())
	return w.version
}

// config returns the configuration with the current version. w.mu must be held.
func (w *world) config() map[string]any {
	config := usersplatform.Config(w.version, host, "look", "once", slowService)
	for _, r := range config["routes"].([]map[string]any) {
		if r["service"] == slowService {
			r["timeout"], r["targetLatency"] = fmt.Sprintf("%dms", slowTimeout.Milliseconds()), "1000ms"
		}
	}
	return w.withTenants(config)
}

// serviceTime returns how long the servers of a service take.
func serviceTime(service string) time.Duration {
	if service == slowService {
		return slowServiceTime
	}
	return 15 * time.Millisecond
}

func (w *world) newEntry(i, firstPort int) *entry {
	name := fmt.Sprintf("entry-%d", i)
	endpoint, err := w.store.NewEndpoint()
	if err != nil {
		w.t.Fatal(err)
	}
	storeProxy, err := newProxy(endpoint.Address)
	if err != nil {
		w.t.Fatal(err)
	}
	address := func(index int) string { return fmt.Sprintf("%s:%d", entryIP(i), firstPort+index) }
	return &entry{
		name: name, ip: entryIP(i), zone: fmt.Sprintf("z%d", i%2),
		callers: address(portCallers), ready: address(portReady), directory: address(portDirectory),
		control: address(portControl), internalPort: firstPort + portInternal, settings: filepath.Join(w.dir, name+".toml"), endpoint: endpoint, storeProxy: storeProxy, world: w,
	}
}

// writeSettings writes the settings file that the users' platform would pass to the entry.
func (e *entry) writeSettings(seed *entry, first bool) {
	text := fmt.Sprintf(`
[self]
nodeId = %q
zone = %q
ip = %q
bootstrap = %v
[self.limits]
cpuShare = 1.0
cores = 1
memoryMb = 256
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
grace = "%v"
retryBudgetRatio = 0.2
retryBudgetSlack = 64
ttl_max = "1s"
strictRevocation = true
quotaWindow = "5s"
revoke = "%v"
`, e.name, e.zone, e.ip, first, e.internalPort, e.internalPort, seed.control,
		e.callers, e.ready, e.control, e.directory, e.storeProxy.address, grace, revokeBound)
	if err := os.WriteFile(e.settings, []byte(text), 0o600); err != nil {
		e.world.t.Fatal(err)
	}
}

// start starts the process. The output of each start goes to its own file.
func (e *entry) start() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.starts++
	out, err := os.Create(filepath.Join(e.world.dir, fmt.Sprintf("%s-%d.log", e.name, e.starts)))
	if err != nil {
		e.world.t.Fatal(err)
	}
	cmd := exec.Command(e.world.binary, "gateway", "--settings", e.settings)
	cmd.Stdout, cmd.Stderr = out, out
	proctest.OwnGroup(cmd)
	if err := cmd.Start(); err != nil {
		e.world.t.Fatal(err)
	}
	ended := make(chan struct{})
	e.cmd, e.ended = cmd, ended
	go func() {
		_ = cmd.Wait()
		out.Close()
		close(ended)
	}()
}

func (e *entry) signal(s syscall.Signal) {
	e.mu.Lock()
	defer e.mu.Unlock()
	// The process may have ended already.
	_ = e.cmd.Process.Signal(s)
}

func (e *entry) process() *os.Process {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.cmd.Process
}

// kill ends the process immediately and waits for its end.
func (e *entry) kill() {
	e.signal(syscall.SIGCONT)
	e.signal(syscall.SIGKILL)
	<-e.done()
}

// terminate stops the process as the platform does: SIGTERM, and SIGKILL after grace. No request
// that it has read may be lost. After it, connections fail until the next process serves.
func (e *entry) terminate() {
	began := time.Now()
	defer func() {
		e.mu.Lock()
		defer e.mu.Unlock()
		e.stops = append(e.stops, interval{began, time.Now().Add(faultAftermath)})
	}()
	e.signal(syscall.SIGTERM)
	select {
	case <-e.done():
	case <-time.After(grace):
		e.kill()
	}
}

func (e *entry) done() chan struct{} {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.ended
}

// restart ends the process with the given function and starts the next one.
func (e *entry) restart(end func()) {
	e.restartMu.Lock()
	defer e.restartMu.Unlock()
	end()
	e.start()
}

// markDisrupted records that from now until the given time responses of this entry may be
// lost.
func (e *entry) markDisrupted(until time.Time) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.disruptions = append(e.disruptions, interval{time.Now(), until})
}

// wasStopping reports whether a planned stop of the entry overlaps the interval.
func (e *entry) wasStopping(from, to time.Time) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return slices.ContainsFunc(e.stops, func(s interval) bool { return s.from.Before(to) && s.until.After(from) })
}

// mayCut reports whether the entry may cut a request when its grace period ends: one that came in
// the first half and was still in progress in the last sixth.
func (e *entry) mayCut(from, to time.Time) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return slices.ContainsFunc(e.stops, func(s interval) bool {
		return from.Before(s.from.Add(grace/2)) && to.After(s.from.Add(grace*5/6))
	})
}

// wasDisrupted reports whether a fault of the entry overlaps the interval.
func (e *entry) wasDisrupted(from, to time.Time) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, s := range e.disruptions {
		if s.from.Before(to) && s.until.After(from) {
			return true
		}
	}
	return false
}
