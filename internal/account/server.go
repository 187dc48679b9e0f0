package account

import (
	"context"
	"io"
	"net"
	"net/http"
	"time"
)

// Limits of HTTP servers whose requests are small and answered at once.
const (
	smallHeaderBytes   = 16 << 10
	smallReadTimeout   = 5 * time.Second
	smallWriteTimeout  = 10 * time.Second
	smallIdleTimeout   = 2 * time.Minute
	smallHeaderTimeout = smallReadTimeout
)

type connKey struct{}

// FromContext returns the connection of a request, nil if the account does not know it.
func FromContext(ctx context.Context) *Conn {
	c, _ := ctx.Value(connKey{}).(*Conn)
	return c
}

// Prepare makes the server tell what its connections do. It must be called before the server serves a
// listener of the account.
func (a *Account) Prepare(server *http.Server) {
	server.Handler = a.handler(server.Handler)
	server.ConnContext = func(ctx context.Context, conn net.Conn) context.Context {
		c, ok := conn.(*Conn)
		if !ok {
			return ctx
		}
		c.http = true
		return context.WithValue(ctx, connKey{}, c)
	}
	server.ConnState = func(conn net.Conn, s http.ConnState) {
		c, ok := conn.(*Conn)
		switch {
		case !ok:
		case s == http.StateActive:
			c.beginRequest()
		case s == http.StateIdle:
			c.endRequest()
		}
	}
}

// PrepareSmall is Prepare for a server whose requests are small and answered at once. It also sets the
// server's limits.
func (a *Account) PrepareSmall(server *http.Server) {
	server.MaxHeaderBytes = smallHeaderBytes
	server.ReadHeaderTimeout = smallHeaderTimeout
	server.ReadTimeout = smallReadTimeout
	server.WriteTimeout = smallWriteTimeout
	server.IdleTimeout = smallIdleTimeout
	a.Prepare(server)
}

// handler tells the connections what their requests do.
func (a *Account) handler(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		c := FromContext(r.Context())
		if c == nil {
			next.ServeHTTP(w, r)
			return
		}
		if c.pipelined > maxPipelined {
			a.report(c.side, reasonPipelined)
			c.lingers.Store(true)
			w.Header().Set("Connection", "close")
		}
		if r.Body != nil && r.Body != http.NoBody {
			r.Body = &trackedBody{body: r.Body, conn: c}
		}
		next.ServeHTTP(w, r)
		// The server reads what is left of the body.
		c.setState(stateBody)
	})
}

// beginRequest tells that the head of a request was read. The server calls it before it reads anything
// else from the connection.
func (c *Conn) beginRequest() {
	c.setState(stateRequest)
	if !c.reads {
		// It was read with the request before, so its caller can't have waited for the response.
		c.pipelined++
	}
}

// trackedBody tells when a body is being read.
type trackedBody struct {
	body io.ReadCloser
	conn *Conn
}

// Read implements io.Reader. It fails with ErrShed if the connection was shed.
func (b *trackedBody) Read(p []byte) (int, error) {
	b.conn.setState(stateBody)
	if b.conn.isShed() {
		return 0, ErrShed
	}
	n, err := b.body.Read(p)
	if err != nil {
		b.conn.setState(stateRequest)
		if b.conn.isShed() {
			err = ErrShed
		}
	}
	return n, err
}

// Close implements io.Closer.
func (b *trackedBody) Close() error { return b.body.Close() }
