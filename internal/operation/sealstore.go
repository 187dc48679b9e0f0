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
	// maxSeals bounds the stored seals; the oldest is evicted first.
	maxSeals = 64
	// sealsPollTimeout is the long-poll timeout of the seals stream.
	sealsPollTimeout = 20 * time.Second
	// sealsRetryDelay is the delay after a failed read of the seals stream.
	sealsRetryDelay = 5 * time.Second
)

// SealStore holds the most recently added seals of stopped incarnations. It is
// safe for concurrent use.
type SealStore struct {
	mu            sync.RWMutex
	byIncarnation map[string]Seal
	order         []string // oldest first
}

// NewSealStore returns an empty SealStore.
func NewSealStore() *SealStore { return &SealStore{byIncarnation: map[string]Seal{}} }

// Add adds a seal from a peer or from the log. A second seal of the same
// incarnation is ignored. The error is a *SealError.
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

// Lookup returns the outcome of an operation whose owner has stopped, as a
// refusal, and false if the store has no seal of the owner. The fingerprint is
// that of the request, scoped to its caller.
func (s *SealStore) Lookup(id ID, fingerprint Fingerprint) (*outcome.Refusal, bool) {
	s.mu.RLock()
	seal, ok := s.byIncarnation[id.Incarnation]
	s.mu.RUnlock()
	if !ok {
		return nil, false
	}
	return seal.lookup(id, fingerprint), true
}

// Run follows the seals stream until ctx ends. Invalid records are skipped.
func (s *SealStore) Run(ctx context.Context, log logservice.Log) {
	var next int64
	for ctx.Err() == nil {
		page, err := log.Read(ctx, logservice.StreamSeals, next, sealsPollTimeout)
		var expired *logservice.ExpiredError
		switch {
		case err == nil:
			s.addPage(page)
			next = page.Next
		case errors.As(err, &expired):
			next = expired.Oldest
		default:
			sleep(ctx, sealsRetryDelay)
		}
	}
}

func (s *SealStore) addPage(page logservice.Page) {
	for _, r := range page.Records {
		_ = s.Add(r.Data)
	}
}

func sleep(ctx context.Context, wait time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(wait):
	}
}

// PublishSeal sends the seal to the peers and appends it to the log, all
// concurrently, and returns when all have replied or ctx ends. The seal takes
// effect at each entry that receives it, from this process or from the log, so a
// partial failure is not fatal: the returned errors are for logging.
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
