package main

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"runtime"
	"sync"
	"sync/atomic"
	"time"

	"chestnutrouter.example/chestnutrouter/internal/fleet"
	"chestnutrouter.example/chestnutrouter/internal/forward"
	"chestnutrouter.example/chestnutrouter/internal/tree"
)

func connectionMeasurements() []measurement {
	return []measurement{{
		name: "memory (heap and stacks) of a kept connection to a backend server", unit: "B/connection", sizes: []int{100, 200, 400},
		value: connectionMemory,
	}}
}

// connectionMemory returns the memory of idle pooled connections. The memory of the
// server side is subtracted; it is measured with connections that are only dialed.
func connectionMemory(size int) (float64, error) {
	total, err := memoryOfCalls(size)
	if err != nil {
		return 0, err
	}
	serversOnly, err := memoryOfDials(size)
	return total - serversOnly, err
}

func memoryOfCalls(size int) (float64, error) {
	servers, err := newPlainServer()
	if err != nil {
		return 0, err
	}
	defer servers.close()
	f := forward.New(forward.Options{})
	defer f.Close()
	svc := benchService(0)
	svc.ConnectionsPerServer = size
	m := tree.Match{Service: svc, Route: svc.Routes[2], Rank: svc.Ranks[1]}
	server := fleet.VM{Name: "shop-001", Address: servers.address()}
	before := liveMemory()
	servers.allArrived.Add(size)
	results := make(chan error, size)
	for range size {
		go func() { results <- call(f, server, m) }()
	}
	for range size {
		if err := <-results; err != nil {
			return 0, err
		}
	}
	return liveMemory() - before, nil
}

// call sends one request and reads the complete response.
func call(f *forward.Forwarder, server fleet.VM, m tree.Match) error {
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+m.Service.Hosts[0]+"/jars", nil)
	if err != nil {
		return err
	}
	response, failure := f.Send(ctx, server, m, r, nil)
	if failure != nil {
		return failure
	}
	defer response.Body.Close()
	_, err = io.Copy(io.Discard, response.Body)
	return err
}

func memoryOfDials(size int) (float64, error) {
	servers, err := newPlainServer()
	if err != nil {
		return 0, err
	}
	defer servers.close()
	before := liveMemory()
	var conns []net.Conn
	for range size {
		conn, err := net.Dial("tcp", servers.address())
		if err != nil {
			return 0, err
		}
		defer conn.Close()
		conns = append(conns, conn)
	}
	for servers.accepted.Load() < int64(size) {
		time.Sleep(time.Millisecond)
	}
	after := liveMemory()
	runtime.KeepAlive(conns)
	return after - before, nil
}

// liveMemory returns the bytes of the live heap and of the stacks.
func liveMemory() float64 {
	heap := liveHeap()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return float64(heap + m.StackInuse)
}

// plainServer responds to each request header section with the same bytes. It sends no
// response until as many requests have arrived as allArrived counts, so that each of
// them opens a separate connection.
type plainServer struct {
	listener   net.Listener
	accepted   atomic.Int64
	allArrived sync.WaitGroup
}

func newPlainServer() (*plainServer, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s := &plainServer{listener: listener}
	go s.accept()
	return s, nil
}

func (s *plainServer) address() string { return s.listener.Addr().String() }

func (s *plainServer) close() { s.listener.Close() }

func (s *plainServer) accept() {
	for {
		conn, err := s.listener.Accept()
		if err != nil {
			return
		}
		s.accepted.Add(1)
		go s.serve(conn)
	}
}

// serve responds to the requests on a connection until the client closes it.
func (s *plainServer) serve(conn net.Conn) {
	defer conn.Close()
	reader := bufio.NewReader(conn)
	for {
		line, err := reader.ReadString('\n')
		if err != nil {
			return
		}
		if line != "\r\n" {
			continue
		}
		s.allArrived.Done()
		s.allArrived.Wait()
		if _, err := conn.Write([]byte("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")); err != nil {
			return
		}
	}
}
