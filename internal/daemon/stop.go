package daemon

import (
	"context"
	"errors"
	"time"

	"chestnutrouter.example/chestnutrouter/internal/fleet"
	"chestnutrouter.example/chestnutrouter/internal/operation"
)

const (
	// sealTimeout bounds how long the entry waits for somebody to take its seal.
	sealTimeout = 5 * time.Second
	// giveUpTimeout bounds how long it tries to give its seats up.
	giveUpTimeout = 2 * time.Second
)

// Stop leaves without cutting a request: first the address answer, then the
// callers' connections, then the requests in progress, then what is known of
// operations is left with the others. An error means that requests were cut.
func (e *Entry) Stop(ctx context.Context) error {
	e.parts.Logger.Info("leaving", "in_flight", e.parts.Drain.InFlight())
	e.parts.Members.SetDraining()
	e.parts.Drain.Start()
	e.awaitCallers(ctx)
	err := e.drainRequests(ctx)
	e.giveUpSeats()
	e.leaveSeal()
	e.close()
	return err
}

// giveUpSeats lets other entries claim this one's share of the voted limits
// before the VM list shows that its VM has left.
func (e *Entry) giveUpSeats() {
	ctx, cancel := context.WithTimeout(context.Background(), giveUpTimeout)
	defer cancel()
	if err := e.parts.Claimer.ReleaseAll(ctx); err != nil {
		e.parts.Logger.Warn("seats not given up; they are claimed once the VM has left", "error", err)
	}
}

// awaitCallers waits until no caller keeps this entry's address and no idle
// connection is left on which a request may be on its way.
func (e *Entry) awaitCallers(ctx context.Context) {
	select {
	case <-time.After(e.parts.Settings.AddressTTL() + e.parts.Settings.KeepAlive()):
	case <-ctx.Done():
	}
}

// drainRequests lets the requests in progress end: those of callers, then the
// operations that other entries passed on. From then on no operation is begun.
func (e *Entry) drainRequests(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, e.parts.Settings.DrainLimit())
	defer cancel()
	err := e.caller.Shutdown(ctx)
	e.parts.Operations.Seal()
	if err == nil {
		err = e.parts.Drain.Wait(ctx)
	}
	if err != nil {
		e.parts.Logger.Error("requests were cut", "in_flight", e.parts.Drain.InFlight(), "error", err)
		return errors.Join(err, e.caller.Close())
	}
	return nil
}

// leaveSeal leaves what is known of this entry's operations with the others.
func (e *Entry) leaveSeal() {
	seal := e.parts.Operations.Seal()
	ctx, cancel := context.WithTimeout(context.Background(), sealTimeout)
	defer cancel()
	for _, err := range operation.PublishSeal(ctx, seal, e.parts.Pool, e.peerAddresses(), e.parts.Platform) {
		e.parts.Logger.Warn("seal was not taken by one side", "error", err)
	}
}

func (e *Entry) peerAddresses() []string {
	var addresses []string
	for _, other := range e.parts.Members.View().Entries {
		if other.Incarnation != e.parts.Operations.Incarnation() && other.VM.Service == fleet.EntryService {
			addresses = append(addresses, other.VM.PeerAddress)
		}
	}
	return addresses
}

// close ends everything that runs.
func (e *Entry) close() {
	e.cancel()
	e.peers.Close()
	e.parts.Pool.Close()
	e.parts.Forwarder.Close()
	e.parts.Platform.Close()
	// Nobody reads the status page of an entry that has stopped.
	_ = e.status.Close()
	e.sockets.close()
	e.background.Wait()
	_ = e.parts.Registry.Close()
}
