package daemon

import (
	"context"
	"time"

	"chestnutrouter.example/chestnutrouter/internal/drain"
	"chestnutrouter.example/chestnutrouter/internal/fleet"
	"chestnutrouter.example/chestnutrouter/internal/operation"
)

const (
	// publishSealTimeout bounds the publishing of the entry's seal, the final record of
	// its operations.
	publishSealTimeout = 5 * time.Second
	// releaseSeatsTimeout bounds the release of the entry's seats.
	releaseSeatsTimeout = 2 * time.Second
)

// Stop shuts the entry down gracefully. It removes the entry from the endpoint list,
// waits until callers no longer use its address and idle connections, waits for the
// requests in progress and publishes the seal. An error means that requests were
// aborted.
func (e *Entry) Stop(ctx context.Context) error {
	drainer := e.params.Drainer
	e.params.Logger.Info("leaving", "in_flight", drainer.InFlight())
	e.params.Membership.SetDraining()
	drainer.Start(e.drainPlan())
	cause := drainer.StopAccepting(ctx, e.sockets.caller)
	e.params.Logger.Info("no longer accepting connections", "cause", string(cause), "in_flight", drainer.InFlight())
	err := drainer.CloseConnections(ctx, e.caller, func() { e.params.Operations.Seal() })
	if err != nil {
		e.params.Logger.Error("requests were cut", "in_flight", drainer.InFlight(), "error", err)
	}
	e.releaseSeats()
	e.publishSeal()
	e.close()
	return err
}

// drainPlan accepts connections until no caller has the entry's address any longer and idle
// connections have been closed.
func (e *Entry) drainPlan() drain.Plan {
	accept := e.params.Settings.AddressTTL() + e.params.Settings.KeepAlive()
	return drain.Plan{MinAccept: accept, MaxAccept: accept, CloseAfter: accept + e.params.Settings.DrainLimit()}
}

// releaseSeats lets other entries claim this entry's share of the global limits
// before the VM list shows that its VM has left.
func (e *Entry) releaseSeats() {
	ctx, cancel := context.WithTimeout(context.Background(), releaseSeatsTimeout)
	defer cancel()
	if err := e.params.Claimer.ReleaseAll(ctx); err != nil {
		e.params.Logger.Warn("seats not released; other entries claim them once the VM has left", "error", err)
	}
}

// publishSeal sends this entry's seal to the other entries and to the log.
func (e *Entry) publishSeal() {
	seal := e.params.Operations.Seal()
	ctx, cancel := context.WithTimeout(context.Background(), publishSealTimeout)
	defer cancel()
	for _, err := range operation.PublishSeal(ctx, seal, e.params.Pool, e.peerAddresses(), e.params.Platform) {
		e.params.Logger.Warn("seal was not accepted by one recipient", "error", err)
	}
}

func (e *Entry) peerAddresses() []string {
	var addresses []string
	for _, other := range e.params.Membership.View().Entries {
		if other.Incarnation != e.params.Operations.Incarnation() && other.VM.Service == fleet.EntryService {
			addresses = append(addresses, other.VM.PeerAddress)
		}
	}
	return addresses
}

// close stops the background work, the servers and the clients.
func (e *Entry) close() {
	e.cancel()
	e.peers.Close()
	e.params.Pool.Close()
	e.params.Forwarder.Close()
	e.params.Platform.Close()
	// Nobody reads the status page of an entry that has stopped.
	_ = e.status.Close()
	e.sockets.close()
	e.background.Wait()
	_ = e.params.Registry.Close()
}
