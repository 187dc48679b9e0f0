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
	// maxHeaderBytes bounds the header section of a request.
	maxHeaderBytes = 64 << 10
)

// Entry is one entry: its parts, its servers and its background work.
type Entry struct {
	params  Params
	sockets *listeners
	caller  *http.Server
	status  *http.Server
	peers   *peer.Server
	// cancel stops the background work; background waits for its goroutines.
	cancel     context.CancelFunc
	background sync.WaitGroup
}

func newEntry(p Params) (*Entry, error) {
	e := &Entry{params: p, peers: peer.NewServer()}
	e.caller = &http.Server{
		Handler:           p.Handler,
		IdleTimeout:       p.Settings.KeepAlive(),
		ReadHeaderTimeout: readHeaderTimeout,
		MaxHeaderBytes:    maxHeaderBytes,
		ErrorLog:          p.Logger.StandardLog(log.StandardLogOptions{ForceLevel: log.WarnLevel}),
	}
	p.Account.Prepare(e.caller)
	e.status = &http.Server{
		Handler:  status.NewHandler(e, p.Registry.Handler),
		ErrorLog: e.caller.ErrorLog,
	}
	p.Account.PrepareSmall(e.status)
	e.subscribe()
	return e, e.register()
}

// subscribe forwards changes of the configuration and of the membership to the parts.
func (e *Entry) subscribe() {
	e.params.Follower.Subscribe(e.applyState)
	e.params.Follower.Subscribe(func(*statemachine.State) { e.params.Membership.Announce() })
	e.params.Membership.Subscribe(func(v *membership.View) { e.params.Services.SetServers(v) })
}

// applyState applies a state. Limits come first, so that no call is admitted with a
// new tree and an old limit.
func (e *Entry) applyState(state *statemachine.State) {
	t := state.Tree()
	if t == nil {
		return
	}
	e.params.Limiter.SetTree(t)
	e.params.Limiter.SetSeats(state.Seats())
	e.params.Services.SetTree(t)
}

// register registers the receivers for the calls of other entries.
func (e *Entry) register() error {
	return errors.Join(
		e.peers.Register(peer.ReceiverMembership, e.params.Membership.Receiver()),
		e.peers.Register(peer.ReceiverFollow, e.params.Follower.Receiver()),
		e.peers.Register(quota.ReceiverName, e.params.Limiter.Receiver()),
		e.peers.Register(peer.ReceiverOperation, operation.NewReceiver(e.params.Operations, e.params.Handler, e.params.SealStore)),
	)
}

// Start opens the listeners and starts the background work and the servers. It needs
// neither the platform nor a peer.
func (e *Entry) Start(context.Context) error {
	sockets, err := newListeners(e.params.Settings, e.params.Account, e.params.Limits)
	if err != nil {
		return err
	}
	e.sockets = sockets
	ctx, cancel := context.WithCancel(context.Background())
	e.cancel = cancel
	e.startBackground(ctx)
	e.serve("peer", sockets.peer, e.peers.Serve)
	e.serve("status", sockets.status, e.status.Serve)
	e.serve("caller", sockets.caller, e.caller.Serve)
	e.params.Logger.Info("started", "incarnation", e.params.Operations.Incarnation(),
		"caller_address", sockets.caller.Addr().String(),
		"peer_address", sockets.peer.Addr().String(),
		"status_address", sockets.status.Addr().String())
	return nil
}

// startBackground starts the loops that run until ctx is cancelled.
func (e *Entry) startBackground(ctx context.Context) {
	e.background.Go(func() { e.params.Workers.Run(ctx, e.params.Settings.Workers) })
	e.background.Go(func() { e.params.Follower.Run(ctx) })
	e.background.Go(func() { e.params.Membership.Run(ctx) })
	e.background.Go(func() { e.params.Limiter.Run(ctx) })
	e.background.Go(func() { e.params.Claimer.Run(ctx) })
	e.background.Go(func() { e.params.Prober.Run(ctx) })
	e.background.Go(func() { e.params.SealStore.Run(ctx, e.params.Platform) })
}

// serve runs one server until it or its listener is closed.
func (e *Entry) serve(side string, l net.Listener, run func(net.Listener) error) {
	e.background.Go(func() {
		err := run(l)
		if !errors.Is(err, http.ErrServerClosed) && !errors.Is(err, peer.ErrServerClosed) && !errors.Is(err, net.ErrClosed) {
			e.params.Logger.Error("server failed", "side", side, "error", err)
		}
	})
}
