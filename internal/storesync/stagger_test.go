package storesync

import (
	"context"
	"strconv"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"chestnutrouter.example/chestnutrouter/internal/cluster"
	"chestnutrouter.example/chestnutrouter/internal/logservice"
)

// unnotifiedLog is a log whose reads return only what was appended before they began: a
// waiting read is not woken by an append.
type unnotifiedLog struct{ fakeLog }

func (l *unnotifiedLog) ReadKeyed(ctx context.Context, stream string, from logservice.Position, wait time.Duration) (logservice.KeyedPage, error) {
	page, err := l.fakeLog.ReadKeyed(ctx, stream, from, 0)
	if err == nil && len(page.Records) == 0 {
		sleep(ctx, wait)
	}
	return page, err
}

// Pattern: reads that wait at the store miss a configuration that is appended meanwhile.
// It must still be known within half of their wait, whenever it is appended, as the two
// readers begin their reads at different times. Together with the spread to the others
// that leaves a margin to the 2 s in which it must be in force.
func TestReadersOfTheConfigurationAreStaggered(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		log := &unnotifiedLog{}
		members := []cluster.LiveMember{{Member: cluster.Member{VM: "vm-0", Zone: "a"}}, {Member: cluster.Member{VM: "vm-1", Zone: "b"}}}
		ctx, cancel := context.WithCancel(t.Context())
		var running sync.WaitGroup
		var readers []*testSyncer
		for i := range members {
			s := newTestSyncer()
			s.options.Log, s.options.Self, s.live = log, members[i].VM, members
			readers = append(readers, s)
		}
		log.put("config", "1")
		for _, s := range readers {
			running.Go(func() { s.followConfig(ctx) })
		}
		var slowest time.Duration
		for revision := 2; revision < 60; revision++ {
			time.Sleep(3*time.Second + time.Duration(revision)*37*time.Millisecond)
			log.put("config", strconv.Itoa(revision))
			began := time.Now()
			for readers[0].Revision() != int64(revision) && readers[1].Revision() != int64(revision) {
				time.Sleep(time.Millisecond)
			}
			slowest = max(slowest, time.Since(began))
		}
		cancel()
		running.Wait()
		if limit := configWait/2 + configWait/24 + 10*time.Millisecond; slowest > limit {
			t.Errorf("a configuration was known %v after it was written, want at most %v", slowest, limit)
		}
	})
}
