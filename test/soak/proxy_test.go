package soak

import (
	"io"
	"net"
	"slices"
	"sync"
	"sync/atomic"
	"time"
)

// proxy forwards TCP connections to a target and injects faults into them.
type proxy struct {
	address       string
	listener      net.Listener
	delay         atomic.Int64 // nanoseconds before each chunk
	holdResponses atomic.Bool  // bytes from the target are held back
	holdAll       atomic.Bool  // bytes in both directions are held back
	mu            sync.Mutex   // guards the fields below
	target        string
	conns         map[net.Conn]bool
	silent        map[net.Conn]bool // connections whose bytes are lost
	holds         []interval        // when bytes to the target were held back or delayed
}

func newProxy(target string) (*proxy, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	p := &proxy{address: l.Addr().String(), listener: l, target: target, conns: map[net.Conn]bool{}, silent: map[net.Conn]bool{}}
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

func (p *proxy) serve(downstream net.Conn) {
	p.mu.Lock()
	target := p.target
	p.mu.Unlock()
	upstream, err := net.DialTimeout("tcp", target, time.Second)
	if err != nil {
		reset(downstream)
		return
	}
	p.track(downstream, upstream)
	var directions sync.WaitGroup
	directions.Go(func() { p.forward(upstream, downstream, func() bool { return p.holdAll.Load() }) })
	directions.Go(func() {
		p.forward(downstream, upstream, func() bool { return p.holdAll.Load() || p.holdResponses.Load() })
	})
	directions.Wait()
	p.untrack(downstream, upstream)
}

// forward copies bytes from one connection to the other. Bytes that are held back are
// delayed, not lost.
func (p *proxy) forward(to, from net.Conn, isHeld func() bool) {
	buf := make([]byte, 16<<10)
	for {
		n, err := from.Read(buf)
		if p.isSilent(from) {
			if err != nil {
				return
			}
			continue
		}
		time.Sleep(time.Duration(p.delay.Load()))
		for isHeld() && p.alive(from) {
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
		delete(p.silent, c)
		c.Close()
	}
}

func (p *proxy) isSilent(c net.Conn) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.silent[c]
}

// silenceAll makes all open connections silent for good: they stay open, and what is sent on
// them is lost. New connections work.
func (p *proxy) silenceAll() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for c := range p.conns {
		p.silent[c] = true
	}
}

func (p *proxy) alive(c net.Conn) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.conns[c]
}

// holdSlack is how long after a hold the bytes may still arrive.
const holdSlack = 500 * time.Millisecond

func (p *proxy) recordHold(began time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.holds = append(p.holds, interval{began, time.Now().Add(holdSlack)})
}

// wasHeld reports whether what arrived at that time may have been held back.
func (p *proxy) wasHeld(at time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return slices.ContainsFunc(p.holds, func(h interval) bool { return !at.Before(h.from) && !at.After(h.until) })
}

// resetAll resets all connections.
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

// reset closes the connection with a TCP reset.
func reset(c net.Conn) {
	if tcp, ok := c.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	_ = c.Close()
}
