package forward

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"

	"chestnutrouter.example/chestnutrouter/internal/tree"
)

// entriesStep rounds the number of entries up, so that one entry more or less
// does not replace the connections of all services.
const entriesStep = 4

// pool is one service's transport and its limit of connections to each server.
type pool struct {
	limit     int
	transport *http.Transport
}

// fits reports whether the pool may go on with a new limit. A smaller one always
// replaces it; a slightly larger one does not, as entries that come and go would
// otherwise close warm connections each time.
func (p *pool) fits(limit int) bool {
	return limit >= p.limit && limit*2 < p.limit*3
}

// pools holds the transports of each service; services never share connections.
type pools struct {
	opts Options

	mu    sync.RWMutex
	byKey map[poolKey]*pool
}

// poolKey tells the pools apart. Calls that are not idempotent have one of their
// own, whose connections are kept for less long.
type poolKey struct {
	service string
	once    bool
}

// transport returns the call's transport for the present number of entries.
func (p *pools) transport(m tree.Match) *http.Transport {
	key := poolKey{service: m.Service.Key()}
	parts := 1
	if p.opts.NonIdempotentIdleTimeout != p.opts.IdleTimeout {
		key.once = m.Route == nil || !m.Route.Idempotent
		parts = 2
	}
	limit := connectionLimit(m.Service.ConnectionsPerServer/parts, p.opts.Entries())
	p.mu.RLock()
	have := p.byKey[key]
	p.mu.RUnlock()
	if have != nil && have.fits(limit) {
		return have.transport
	}
	return p.replace(key, limit)
}

// replace makes the transport for a new limit. Requests in progress finish on
// the old one, whose idle connections are closed.
func (p *pools) replace(key poolKey, limit int) *http.Transport {
	p.mu.Lock()
	defer p.mu.Unlock()
	have := p.byKey[key]
	if have != nil && have.fits(limit) {
		return have.transport
	}
	if have != nil {
		have.transport.CloseIdleConnections()
	}
	if p.byKey == nil {
		p.byKey = map[poolKey]*pool{}
	}
	idle := p.opts.IdleTimeout
	if key.once {
		idle = p.opts.NonIdempotentIdleTimeout
	}
	made := &pool{limit: limit, transport: p.newTransport(limit, idle)}
	p.byKey[key] = made
	return made.transport
}

func (p *pools) newTransport(limit int, idle time.Duration) *http.Transport {
	return &http.Transport{
		DialContext:            p.dialCounted,
		DisableCompression:     true,
		MaxConnsPerHost:        limit,
		MaxIdleConnsPerHost:    limit,
		IdleConnTimeout:        idle,
		ExpectContinueTimeout:  expectTimeout,
		MaxResponseHeaderBytes: maxAnswerHeaderBytes,
	}
}

func (p *pools) dialCounted(ctx context.Context, network, address string) (net.Conn, error) {
	c, err := p.opts.Dial(ctx, network, address)
	if err != nil {
		return nil, err
	}
	return newConn(c), nil
}

func (p *pools) close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, have := range p.byKey {
		have.transport.CloseIdleConnections()
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
