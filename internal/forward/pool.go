package forward

import (
	"context"
	"net"
	"net/http"
	"sync"

	"chestnutrouter.example/chestnutrouter/internal/tree"
)

// entriesStep rounds the number of entries up, so that one entry more or less
// does not replace the connections of all services.
const entriesStep = 4

// poolKey names a transport: services never share connections, and a changed
// limit makes a new one.
type poolKey struct {
	service string
	limit   int
}

// pools holds one transport a service.
type pools struct {
	entries func() int
	dial    func(ctx context.Context, network, address string) (net.Conn, error)

	mu    sync.RWMutex
	byKey map[poolKey]*http.Transport
}

// transport returns the service's transport for the present number of entries.
func (p *pools) transport(svc *tree.Service) *http.Transport {
	key := poolKey{svc.Key(), connectionLimit(svc.ConnectionsPerServer, p.entries())}
	p.mu.RLock()
	t := p.byKey[key]
	p.mu.RUnlock()
	if t != nil {
		return t
	}
	return p.replace(key)
}

// replace makes the transport for a new limit. Requests in progress finish on
// the old one, whose idle connections are closed.
func (p *pools) replace(key poolKey) *http.Transport {
	p.mu.Lock()
	defer p.mu.Unlock()
	if t := p.byKey[key]; t != nil {
		return t
	}
	if p.byKey == nil {
		p.byKey = map[poolKey]*http.Transport{}
	}
	for old, t := range p.byKey {
		if old.service == key.service {
			t.CloseIdleConnections()
			delete(p.byKey, old)
		}
	}
	t := p.newTransport(key.limit)
	p.byKey[key] = t
	return t
}

func (p *pools) newTransport(limit int) *http.Transport {
	return &http.Transport{
		DialContext:            p.dialCounted,
		DisableCompression:     true,
		MaxConnsPerHost:        limit,
		MaxIdleConnsPerHost:    limit,
		IdleConnTimeout:        idleTimeout,
		ExpectContinueTimeout:  expectTimeout,
		MaxResponseHeaderBytes: maxAnswerHeaderBytes,
	}
}

func (p *pools) dialCounted(ctx context.Context, network, address string) (net.Conn, error) {
	c, err := p.dial(ctx, network, address)
	if err != nil {
		return nil, err
	}
	return newConn(c), nil
}

func (p *pools) close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, t := range p.byKey {
		t.CloseIdleConnections()
	}
}

// connectionLimit is this entry's part of a server's connections, at least one.
func connectionLimit(perServer, entries int) int {
	rounded := (max(entries, 1) + entriesStep - 1) / entriesStep * entriesStep
	if entries <= 1 {
		rounded = 1
	}
	return max(1, perServer/rounded)
}
