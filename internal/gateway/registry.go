package gateway

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"time"

	"chestnutrouter.example/chestnutrouter/internal/eventlog"
	"chestnutrouter.example/chestnutrouter/internal/logservice"
	"chestnutrouter.example/chestnutrouter/internal/mesh"
)

const (
	// registryTimeout bounds one call of the registration.
	registryTimeout = time.Second
	// firstRegistryPause doubles after each failed registration.
	firstRegistryPause = 500 * time.Millisecond
	// longestRegistryPause bounds the doubling.
	longestRegistryPause = 8 * time.Second
)

// registry is the store's list of entries: they find each other there after
// every VM was lost at once, when no seed may be left.
type registry struct {
	log    logservice.KeyedLog
	stream string
	events *eventlog.Logger
}

// run registers the member and greets the others that are registered.
func (r registry) run(ctx context.Context, self mesh.Member, node *mesh.Node) {
	pause := firstRegistryPause
	for ctx.Err() == nil {
		err := r.register(ctx, self, node)
		if err == nil {
			return
		}
		r.events.Warn("registration failed", "error", err, "retry_ms", pause.Milliseconds())
		select {
		case <-ctx.Done():
		case <-time.After(pause/2 + rand.N(pause)):
		}
		pause = min(2*pause, longestRegistryPause)
	}
}

// register reads the list first: a member whose place is in it already, as after
// a restart, saves a call.
func (r registry) register(ctx context.Context, self mesh.Member, node *mesh.Node) error {
	ctx, cancel := context.WithTimeout(ctx, registryTimeout)
	defer cancel()
	page, err := r.log.Newest(ctx, r.stream)
	if err != nil {
		return err
	}
	listed := false
	for _, record := range page.Records {
		var m mesh.Member
		if err := json.Unmarshal(record.Value, &m); err != nil {
			r.events.Warn("entry record ignored", "key", record.Key, "offset", record.Offset, "error", err)
			continue
		}
		listed = listed || m.VM == self.VM && m.Datagrams == self.Datagrams
		node.Greet(m.Datagrams)
	}
	r.events.Info("entries read", "records", len(page.Records), "listed", listed)
	if listed {
		return nil
	}
	value, err := json.Marshal(self)
	if err != nil {
		return err
	}
	return r.log.Put(ctx, r.stream, self.VM, value)
}
