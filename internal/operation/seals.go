package operation

import (
	"context"
	"errors"
	"sync"
	"time"

	"chestnutrouter.example/chestnutrouter/internal/logservice"
	"chestnutrouter.example/chestnutrouter/internal/outcome"
	"chestnutrouter.example/chestnutrouter/internal/peer"
)

const (
	// maxSeals is how many seals are kept; the oldest is forgotten first.
	maxSeals = 64
	// sealsWait is the long poll of the seals stream.
	sealsWait = 20 * time.Second
	// sealsRetry is the wait after a failed read of the seals stream.
	sealsRetry = 5 * time.Second
)

// SealStore holds the newest seals of stopped incarnations. It is safe for
// concurrent use.
type SealStore struct {
	mu            sync.RWMutex
	byIncarnation map[string]Seal
	order         []string // oldest first
}

// NewSealStore returns an empty SealStore.
func NewSealStore() *SealStore { return &SealStore{byIncarnation: map[string]Seal{}} }

// Add takes in a seal from a peer or from the log. A second one of the
// same incarnation changes nothing.
func (s *SealStore) Add(record []byte) error {
	seal, err := parseSeal(record)
	if err != nil {
		return err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, ok := s.byIncarnation[seal.Incarnation]; ok {
		return nil
	}
	if len(s.order) == maxSeals {
		delete(s.byIncarnation, s.order[0])
		s.order = append(make([]string, 0, maxSeals), s.order[1:]...)
	}
	s.byIncarnation[seal.Incarnation] = seal
	s.order = append(s.order, seal.Incarnation)
	return nil
}

// Lookup says what became of an operation whose owner has stopped, and false
// where no seal of the owner is known. sum is the request's fingerprint, scoped
// by its caller.
func (s *SealStore) Lookup(id ID, sum Fingerprint) (*outcome.Refusal, bool) {
	s.mu.RLock()
	seal, ok := s.byIncarnation[id.Incarnation]
	s.mu.RUnlock()
	if !ok {
		return nil, false
	}
	return seal.lookup(id, sum), true
}

// Run follows the seals stream until ctx ends. A record that can't be read is
// passed over.
func (s *SealStore) Run(ctx context.Context, log logservice.Log) {
	var next int64
	for ctx.Err() == nil {
		page, err := log.Read(ctx, logservice.StreamSeals, next, sealsWait)
		var expired *logservice.ExpiredError
		switch {
		case err == nil:
			s.addPage(page)
			next = page.Next
		case errors.As(err, &expired):
			next = expired.Oldest
		default:
			pause(ctx, sealsRetry)
		}
	}
}

func (s *SealStore) addPage(page logservice.Page) {
	for _, r := range page.Records {
		_ = s.Add(r.Data)
	}
}

func pause(ctx context.Context, wait time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(wait):
	}
}

// PublishSeal gives the seal to the peers and appends it to the log, all at once, and
// returns when all have answered or ctx ends. The seal holds wherever one of
// them took it; the errors are for the log of this process.
func PublishSeal(ctx context.Context, seal Seal, client peer.Client, peers []string, log logservice.Log) []error {
	record := seal.Record()
	errs := make(chan error, len(peers)+1)
	go func() {
		_, err := log.Append(ctx, logservice.StreamSeals, record)
		errs <- err
	}()
	for _, address := range peers {
		go func() {
			errs <- client.Call(ctx, address, peer.MethodOperationSeal, &peer.SealArgs{Record: record}, &peer.SealReply{})
		}()
	}
	var failed []error
	for range len(peers) + 1 {
		if err := <-errs; err != nil {
			failed = append(failed, err)
		}
	}
	return failed
}
