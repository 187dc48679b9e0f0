package main

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"os/signal"
	"runtime/debug"
	"runtime/pprof"
	"strings"
	"syscall"
	"time"

	"chestnutrouter.example/chestnutrouter/standin/backend"
)

const (
	// serverCount and serverSlots give every caller of the benchmark a slot, so that no
	// call waits for a server.
	serverCount = 30
	serverSlots = 3
)

// child is a child process of this benchmark.
type child struct {
	cmd *exec.Cmd
	// addresses are those on which it listens.
	addresses []string
}

// startChild runs this program in another role and waits until it listens.
func startChild(arguments ...string) (*child, error) {
	program, err := os.Executable()
	if err != nil {
		return nil, err
	}
	cmd := exec.Command(program, arguments...)
	cmd.Stderr = os.Stderr
	output, err := cmd.StdoutPipe()
	if err != nil {
		return nil, err
	}
	if err := cmd.Start(); err != nil {
		return nil, err
	}
	c := &child{cmd: cmd}
	line, err := bufio.NewReader(output).ReadString('\n')
	if err != nil {
		c.stop()
		return nil, fmt.Errorf("child %v did not start: %w", arguments, err)
	}
	c.addresses = strings.Split(strings.TrimSpace(line), ",")
	return c, nil
}

// stop ends the process and waits for it.
func (c *child) stop() {
	// The process may have exited by itself; Wait reaps it in any case.
	_ = c.cmd.Process.Signal(syscall.SIGTERM)
	_ = c.cmd.Wait()
}

// runServers runs the child that serves all backend servers.
func runServers() error {
	var handlers []http.Handler
	for i := range serverCount {
		handlers = append(handlers, backend.New(backend.Options{Name: fmt.Sprint("server", i), Slots: serverSlots}))
	}
	return serve(handlers)
}

// runEntry runs the child that forwards calls to the backend servers.
func runEntry(o options) error {
	debug.SetGCPercent(o.gcPercent)
	if o.profile != "" {
		file, err := os.Create(o.profile)
		if err != nil {
			return err
		}
		defer file.Close()
		if err := pprof.StartCPUProfile(file); err != nil {
			return err
		}
		defer pprof.StopCPUProfile()
	}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	servers := strings.Split(o.servers, ",")
	if o.role == roleHop {
		return serve([]http.Handler{newHop(servers), http.HandlerFunc(serveUsage)})
	}
	handler, err := newEntry(ctx, servers)
	if err != nil {
		return err
	}
	return serve([]http.Handler{handler, http.HandlerFunc(serveUsage)})
}

// serveUsage responds with the CPU time of this process in microseconds.
func serveUsage(w http.ResponseWriter, _ *http.Request) {
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	used := time.Duration(u.Utime.Nano() + u.Stime.Nano())
	// A caller that has disconnected needs no response.
	_, _ = fmt.Fprint(w, used.Microseconds())
}

// cpuUsage returns the CPU time of the child at an address, zero if there is no address
// or the request fails.
func cpuUsage(address string) time.Duration {
	if address == "" {
		return 0
	}
	response, err := http.Get("http://" + address)
	if err != nil {
		return 0
	}
	defer response.Body.Close()
	var micros int64
	if _, err := fmt.Fscan(response.Body, &micros); err != nil {
		return 0
	}
	return time.Duration(micros) * time.Microsecond
}

// serve opens one listener for each handler, prints the addresses and serves until
// SIGTERM or an interrupt.
func serve(handlers []http.Handler) error {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	var addresses []string
	failed := make(chan error, len(handlers))
	for _, h := range handlers {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return err
		}
		addresses = append(addresses, listener.Addr().String())
		server := &http.Server{Handler: h}
		defer server.Close()
		go func() { failed <- server.Serve(listener) }()
	}
	fmt.Println(strings.Join(addresses, ","))
	select {
	case <-ctx.Done():
		return nil
	case err := <-failed:
		return errors.Join(errors.New("a listener stopped serving"), err)
	}
}
