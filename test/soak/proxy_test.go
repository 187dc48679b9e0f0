package soak

import (
	"io"
	"net"
	"sync"
	"sync/atomic"
	"time"
)

// proxy passes TCP connections on and can harm them.
type proxy struct {
	address  string
	listener net.Listener
	delay    atomic.Int64 // nanoseconds before each chunk
	oneWay   atomic.Bool  // what the target sends is held back
	silent   atomic.Bool  // nothing passes, either way
	mu       sync.Mutex   // guards the fields below
	target   string
	conns    map[net.Conn]bool
}

func newProxy(target string) (*proxy, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	p := &proxy{address: l.Addr().String(), listener: l, target: target, conns: map[net.Conn]bool{}}
	go p.accept()
	return p, nil
}

func (p *proxy) setTarget(target string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.target = target
}

func (p *proxy) accept() {
	for {
		c, err := p.listener.Accept()
		if err != nil {
			return
		}
		go p.serve(c)
	}
}

func (p *proxy) serve(near net.Conn) {
	p.mu.Lock()
	target := p.target
	p.mu.Unlock()
	far, err := net.DialTimeout("tcp", target, time.Second)
	if err != nil {
		reset(near)
		return
	}
	p.track(near, far)
	var both sync.WaitGroup
	both.Go(func() { p.copy(far, near, func() bool { return p.silent.Load() }) })
	both.Go(func() { p.copy(near, far, func() bool { return p.silent.Load() || p.oneWay.Load() }) })
	both.Wait()
	p.untrack(near, far)
}

// copy passes bytes on; while they are held back none is lost.
func (p *proxy) copy(to, from net.Conn, held func() bool) {
	buf := make([]byte, 16<<10)
	for {
		n, err := from.Read(buf)
		time.Sleep(time.Duration(p.delay.Load()))
		for held() && p.alive(from) {
			time.Sleep(5 * time.Millisecond)
		}
		if n > 0 {
			if _, werr := to.Write(buf[:n]); werr != nil {
				reset(from)
				return
			}
		}
		if err == io.EOF {
			if tcp, ok := to.(*net.TCPConn); ok {
				_ = tcp.CloseWrite()
			}
			return
		}
		if err != nil {
			reset(to)
			return
		}
	}
}

func (p *proxy) track(conns ...net.Conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, c := range conns {
		p.conns[c] = true
	}
}

func (p *proxy) untrack(conns ...net.Conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, c := range conns {
		delete(p.conns, c)
		c.Close()
	}
}

func (p *proxy) alive(c net.Conn) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.conns[c]
}

// resetAll breaks all connections.
func (p *proxy) resetAll() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for c := range p.conns {
		reset(c)
		delete(p.conns, c)
	}
}

func (p *proxy) close() {
	_ = p.listener.Close()
	p.resetAll()
}

func reset(c net.Conn) {
	if tcp, ok := c.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	_ = c.Close()
}
