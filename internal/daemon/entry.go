package daemon

import (
	"context"
	"errors"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/charmbracelet/log"

	"chestnutrouter.example/chestnutrouter/internal/membership"
	"chestnutrouter.example/chestnutrouter/internal/operation"
	"chestnutrouter.example/chestnutrouter/internal/peer"
	"chestnutrouter.example/chestnutrouter/internal/quota"
	"chestnutrouter.example/chestnutrouter/internal/statemachine"
	"chestnutrouter.example/chestnutrouter/internal/status"
)

const (
	// readHeaderTimeout bounds how long a caller may take for a request's header.
	readHeaderTimeout = 10 * time.Second
	// maxHeaderBytes bounds the header of a request.
	maxHeaderBytes = 64 << 10
)

// Entry is one entry: its parts, its servers and its background work.
type Entry struct {
	parts   Params
	sockets *listeners
	caller  *http.Server
	status  *http.Server
	peers   *peer.Server
	// cancel ends the background work; background counts its goroutines.
	cancel     context.CancelFunc
	background sync.WaitGroup
}

func newEntry(p Params) (*Entry, error) {
	e := &Entry{parts: p, peers: peer.NewServer()}
	e.caller = &http.Server{
		Handler:           p.Handler,
		IdleTimeout:       p.Settings.KeepAlive(),
		ReadHeaderTimeout: readHeaderTimeout,
		MaxHeaderBytes:    maxHeaderBytes,
		ErrorLog:          p.Logger.StandardLog(log.StandardLogOptions{ForceLevel: log.WarnLevel}),
	}
	e.status = &http.Server{
		Handler:           status.NewHandler(e, p.Registry.Handler),
		ReadHeaderTimeout: readHeaderTimeout,
	}
	e.subscribe()
	return e, e.register()
}

// subscribe passes changes of the configuration and of the fleet on to the parts.
func (e *Entry) subscribe() {
	e.parts.Follower.Subscribe(e.applyState)
	e.parts.Follower.Subscribe(func(*statemachine.State) { e.parts.Members.Announce() })
	e.parts.Members.Subscribe(func(v *membership.View) { e.parts.Services.SetServers(v) })
}

// applyState puts a state in force. Limits come first, so that no call passes
// under a new tree and an old limit.
func (e *Entry) applyState(state *statemachine.State) {
	t := state.Tree()
	if t == nil {
		return
	}
	e.parts.Limiter.SetTree(t)
	e.parts.Limiter.SetSeats(state.Seats())
	e.parts.Services.SetTree(t)
}

// register makes the parts callable by other entries.
func (e *Entry) register() error {
	return errors.Join(
		e.peers.Register(peer.ReceiverMembership, e.parts.Members.Receiver()),
		e.peers.Register(peer.ReceiverFollow, e.parts.Follower.Receiver()),
		e.peers.Register(quota.ReceiverName, e.parts.Limiter.Receiver()),
		e.peers.Register(peer.ReceiverOperation, operation.NewReceiver(e.parts.Operations, e.parts.Handler, e.parts.Seals)),
	)
}

// Start binds the sockets and starts the background work and the servers. It
// needs neither the platform nor a peer.
func (e *Entry) Start(context.Context) error {
	sockets, err := newListeners(e.parts.Settings)
	if err != nil {
		return err
	}
	e.sockets = sockets
	ctx, cancel := context.WithCancel(context.Background())
	e.cancel = cancel
	e.goBackground(ctx)
	e.serve("peer", sockets.peer, e.peers.Serve)
	e.serve("status", sockets.status, e.status.Serve)
	e.serve("caller", sockets.caller, e.caller.Serve)
	e.parts.Logger.Info("started", "incarnation", e.parts.Operations.Incarnation(),
		"caller_address", sockets.caller.Addr().String(),
		"peer_address", sockets.peer.Addr().String(),
		"status_address", sockets.status.Addr().String())
	return nil
}

func (e *Entry) goBackground(ctx context.Context) {
	e.background.Go(func() { e.parts.Workers.Run(ctx, e.parts.Settings.Workers) })
	e.background.Go(func() { e.parts.Follower.Run(ctx) })
	e.background.Go(func() { e.parts.Members.Run(ctx) })
	e.background.Go(func() { e.parts.Limiter.Run(ctx) })
	e.background.Go(func() { e.parts.Claimer.Run(ctx) })
	e.background.Go(func() { e.parts.Prober.Run(ctx) })
	e.background.Go(func() { e.parts.Seals.Run(ctx, e.parts.Platform) })
}

// serve runs one server until it is closed.
func (e *Entry) serve(side string, l net.Listener, run func(net.Listener) error) {
	e.background.Go(func() {
		err := run(l)
		if !errors.Is(err, http.ErrServerClosed) && !errors.Is(err, peer.ErrServerClosed) {
			e.parts.Logger.Error("server failed", "side", side, "error", err)
		}
	})
}
