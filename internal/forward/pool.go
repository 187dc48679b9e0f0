package forward

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"

	"chestnutrouter.example/chestnutrouter/internal/tree"
)

// entriesRounding is the multiple to which the number of entries is rounded up, so
// that a change by one entry rarely replaces the connections of all services.
const entriesRounding = 4

// pool is one transport of a service and its connection limit for each server.
type pool struct {
	limit     int
	transport *http.Transport
}

// fits reports whether the pool can be kept under a new limit. A smaller limit
// always replaces the pool. A slightly larger one does not, as otherwise every
// entry that comes or goes would close idle connections.
func (p *pool) fits(limit int) bool {
	return limit >= p.limit && limit*2 < p.limit*3
}

// pools holds the transports of all services; services never share connections.
type pools struct {
	opts Options

	mu    sync.RWMutex
	byKey map[poolKey]*pool
}

// poolKey identifies a pool. Non-idempotent calls use a separate pool if their
// idle timeout differs.
type poolKey struct {
	service       string
	nonIdempotent bool
}

// transport returns the call's transport for the current number of entries.
func (p *pools) transport(m tree.Match) *http.Transport {
	key := poolKey{service: m.Service.Key()}
	poolCount := 1
	if p.opts.NonIdempotentIdleTimeout != p.opts.IdleTimeout {
		key.nonIdempotent = m.Route == nil || !m.Route.Idempotent
		poolCount = 2
	}
	limit := connectionLimit(m.Service.ConnectionsPerServer/poolCount, p.opts.Entries())
	p.mu.RLock()
	existing := p.byKey[key]
	p.mu.RUnlock()
	if existing != nil && existing.fits(limit) {
		return existing.transport
	}
	return p.replace(key, limit)
}

// replace creates the transport for a new limit. Requests in progress finish on
// the old one, whose idle connections are closed.
func (p *pools) replace(key poolKey, limit int) *http.Transport {
	p.mu.Lock()
	defer p.mu.Unlock()
	existing := p.byKey[key]
	if existing != nil && existing.fits(limit) {
		return existing.transport
	}
	if existing != nil {
		existing.transport.CloseIdleConnections()
	}
	if p.byKey == nil {
		p.byKey = map[poolKey]*pool{}
	}
	idle := p.opts.IdleTimeout
	if key.nonIdempotent {
		idle = p.opts.NonIdempotentIdleTimeout
	}
	created := &pool{limit: limit, transport: p.newTransport(limit, max(idle, p.opts.MaxAnnouncedIdleTimeout))}
	p.byKey[key] = created
	return created.transport
}

func (p *pools) newTransport(limit int, idle time.Duration) *http.Transport {
	return &http.Transport{
		DialContext:            p.dialConn,
		DisableCompression:     true,
		MaxConnsPerHost:        limit,
		MaxIdleConnsPerHost:    limit,
		IdleConnTimeout:        idle,
		ExpectContinueTimeout:  continueTimeout,
		MaxResponseHeaderBytes: maxResponseHeaderBytes,
	}
}

func (p *pools) dialConn(ctx context.Context, network, address string) (net.Conn, error) {
	c, err := p.opts.Dial(ctx, network, address)
	if err != nil {
		return nil, err
	}
	return newConn(c), nil
}

func (p *pools) close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, existing := range p.byKey {
		existing.transport.CloseIdleConnections()
	}
}

// connectionLimit is this entry's share of a server's connections, at least one.
func connectionLimit(perServer, entries int) int {
	rounded := (max(entries, 1) + entriesRounding - 1) / entriesRounding * entriesRounding
	if entries <= 1 {
		rounded = 1
	}
	return max(1, perServer/rounded)
}
