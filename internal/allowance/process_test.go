package allowance

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/netip"
	"os"
	"os/exec"
	"sync"
	"syscall"
	"testing"
	"time"

	"chestnutrouter.example/chestnutrouter/internal/cluster"
	"chestnutrouter.example/chestnutrouter/internal/loopback"
	"chestnutrouter.example/chestnutrouter/internal/steady"
	"chestnutrouter.example/chestnutrouter/internal/tree"
)

// memberVariable is the environment variable with the settings of a member process.
const memberVariable = "ALLOWANCE_TEST_MEMBER"

// memberSettings are the settings of a member process of the test with real processes.
type memberSettings struct {
	VM      string
	Address netip.AddrPort
	Seeds   []netip.AddrPort
	Tenant  tree.Tenant
	// RequestsPerS is the number of units that the member asks for per second.
	RequestsPerS float64
}

func isMemberProcess() bool { return os.Getenv(memberVariable) != "" }

// runMemberProcess runs a member that asks for units of the tenant's allowance until it is killed,
// and writes the time since boot of each grant to standard output. It returns the exit status.
func runMemberProcess() int {
	var s memberSettings
	if err := json.Unmarshal([]byte(os.Getenv(memberVariable)), &s); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	conn, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(s.Address))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	node := cluster.NewNode(cluster.Options{
		Self: cluster.Member{VM: s.VM, Zone: "zone", DatagramAddress: s.Address, Incarnation: uint64(time.Now().UnixNano()), Weight: 1},
		Conn: conn, OnHeartbeat: func(cluster.LiveMember, *cluster.Heartbeat) {},
	})
	owner := NewOwner(OwnerOptions{
		Self: s.VM, View: node.View, Window: quotaWindow, HasPeers: true, Now: steady.SinceBoot,
		Limit: func(string) (Limit, bool) { return Limit{s.Tenant.PerSecond, s.Tenant.Burst}, true },
	})
	node.HandleQueries(cluster.TopicAllowance, owner.Answer)
	client := NewClient(ClientOptions{Node: node, Now: steady.SinceBoot})
	node.AddSeeds(s.Seeds...)
	node.Join(time.Now())
	go func() { _ = node.Receive() }()
	ctx := context.Background()
	go cluster.RunEvery(ctx, 66*time.Millisecond, func(_ context.Context, now time.Time) {
		owner.Tick()
		node.SendHeartbeat(&cluster.Heartbeat{Status: cluster.Status{Ready: true}}, now)
	})
	cluster.RunEvery(ctx, time.Duration(float64(time.Second)/s.RequestsPerS), func(context.Context, time.Time) {
		go func() {
			if _, refusal := client.Acquire(ctx, &s.Tenant); refusal == nil {
				fmt.Println(int64(steady.SinceBoot()))
			}
		}()
	})
	return 0
}

// grantLog collects the times of the grants of all member processes.
type grantLog struct {
	mu    sync.Mutex // guards times
	times []time.Duration
}

func (l *grantLog) read(out io.Reader) {
	for lines := bufio.NewScanner(out); lines.Scan(); {
		var at int64
		if _, err := fmt.Sscan(lines.Text(), &at); err != nil {
			continue // the last line of a process that was killed
		}
		l.mu.Lock()
		l.times = append(l.times, time.Duration(at))
		l.mu.Unlock()
	}
}

func startMemberProcess(t *testing.T, s *memberSettings, grants *grantLog) *exec.Cmd {
	t.Helper()
	encoded, err := json.Marshal(s)
	if err != nil {
		t.Fatal(err)
	}
	cmd := exec.Command(os.Args[0])
	cmd.Env = append(os.Environ(), memberVariable+"="+string(encoded))
	cmd.Stderr = os.Stderr
	out, err := cmd.StdoutPipe()
	if err != nil {
		t.Fatal(err)
	}
	if err := cmd.Start(); err != nil {
		t.Fatal(err)
	}
	done := make(chan struct{})
	go func() { grants.read(out); close(done) }()
	t.Cleanup(func() {
		_ = cmd.Process.Kill() // it may have ended
		<-done
		_ = cmd.Wait()
	})
	return cmd
}

// Load: six processes on loopback ask for ten times the allowance of a tenant while each is killed
// and started again in turn, and one is stopped for three seconds. The bound must hold in every
// window.
func TestBoundHoldsWithRealProcesses(t *testing.T) {
	const members = 6
	tenant := tree.Tenant{Name: "hot", PerSecond: 60, Burst: 20}
	grants := &grantLog{}
	var settings []*memberSettings
	var seeds []netip.AddrPort
	for i := range members {
		address, err := loopback.Next()
		if err != nil {
			t.Fatal(err)
		}
		seeds = append(seeds, address)
		settings = append(settings, &memberSettings{
			VM: fmt.Sprintf("vm-%d", i), Address: address, Tenant: tenant, RequestsPerS: 10 * tenant.PerSecond / members,
		})
	}
	var processes []*exec.Cmd
	for _, s := range settings {
		s.Seeds = seeds
		processes = append(processes, startMemberProcess(t, s, grants))
	}
	signal := func(i int, s syscall.Signal) {
		if err := processes[i].Process.Signal(s); err != nil {
			t.Error(err)
		}
	}
	time.Sleep(3 * time.Second)
	for i := range members {
		signal(i, syscall.SIGKILL)
		time.Sleep(500 * time.Millisecond)
		processes[i] = startMemberProcess(t, settings[i], grants)
		time.Sleep(500 * time.Millisecond)
	}
	signal(0, syscall.SIGSTOP)
	time.Sleep(3 * time.Second)
	signal(0, syscall.SIGCONT)
	time.Sleep(3 * time.Second)
	grants.mu.Lock()
	defer grants.mu.Unlock()
	most := mostInWindow(grants.times)
	t.Logf("%d grants, at most %d of %.0f in a window", len(grants.times), most, bound(&tenant))
	if float64(most) > bound(&tenant) {
		t.Errorf("%d grants within %v, want at most %.1f", most, quotaWindow, bound(&tenant))
	}
	if len(grants.times) == 0 {
		t.Error("nothing was granted")
	}
}
