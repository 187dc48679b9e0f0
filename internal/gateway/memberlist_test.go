package gateway

import (
	"bytes"
	"context"
	"fmt"
	"net/netip"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/charmbracelet/log"

	"chestnutrouter.example/chestnutrouter/internal/cluster"
	"chestnutrouter.example/chestnutrouter/internal/cluster/memnet"
	"chestnutrouter.example/chestnutrouter/internal/eventlog"
	"chestnutrouter.example/chestnutrouter/internal/logservice"
)

// memberStore is a store with one keyed stream in memory.
type memberStore struct {
	logservice.CompactedLog
	mu      sync.Mutex
	records map[string][]byte
	puts    int // appended records
	reads   int
	latency time.Duration // of each call
}

// end returns the position after the newest record. The caller holds mu.
func (s *memberStore) end() logservice.Position {
	end, err := logservice.NewPosition(0, int64(s.puts))
	if err != nil {
		panic(err)
	}
	return end
}

func (s *memberStore) Newest(context.Context, string) (logservice.KeyedPage, error) {
	defer time.Sleep(s.latency)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.reads++
	page := logservice.KeyedPage{Next: s.end()}
	for key, value := range s.records {
		page.Records = append(page.Records, logservice.KeyedRecord{Key: key, Value: value})
	}
	return page, nil
}

func (s *memberStore) Put(_ context.Context, stream, key string, value []byte, end logservice.Position) error {
	time.Sleep(s.latency)
	s.mu.Lock()
	defer s.mu.Unlock()
	if end != s.end() {
		return &logservice.ConflictError{Stream: stream, End: end}
	}
	s.puts++
	s.records[key] = value
	return nil
}

// listedMember is a cluster member that maintains the member list.
type listedMember struct {
	node *cluster.Node
	stop func()
}

func startListedMember(network *memnet.Network, store logservice.CompactedLog, i int, seeds ...netip.AddrPort) *listedMember {
	address := listedAddress(i)
	vm := fmt.Sprintf("vm-%d", i)
	node := cluster.NewNode(cluster.Options{
		Self:        cluster.Member{VM: vm, Zone: fmt.Sprintf("zone-%d", i%2), DatagramAddress: address, Incarnation: uint64(i + 1)},
		Conn:        network.Listen(address),
		OnHeartbeat: func(cluster.LiveMember, *cluster.Heartbeat) {},
	})
	node.AddSeeds(seeds...)
	events := eventlog.New(&bytes.Buffer{}, log.InfoLevel)
	list := &memberList{log: store, stream: "entries", node: node, self: vm, events: events, storeEpoch: func() int64 { return 0 }}
	ctx, cancel := context.WithCancel(context.Background())
	var done sync.WaitGroup
	done.Go(func() { _ = node.Receive() })
	done.Go(func() { list.run(ctx) })
	done.Go(func() {
		cluster.RunEvery(ctx, 66*time.Millisecond, func(_ context.Context, now time.Time) {
			node.SendHeartbeat(&cluster.Heartbeat{Status: cluster.Status{Ready: true}}, now)
		})
	})
	return &listedMember{node, func() {
		cancel()
		_ = node.Close()
		done.Wait()
		events.Close()
	}}
}

func listedAddress(i int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, byte(i + 1)}), 7000)
}

// Guards against parts of the cluster that stay apart for good after a cut that outlasted the
// time until members forget each other: each part of two and more members wrote its own members as
// the list in the store, and none read it.
func TestPartsFindEachOtherByTheMemberListAfterALongCut(t *testing.T) {
	const cut = 5 * time.Minute
	for _, partSize := range []int{1, 2, 4} {
		t.Run(fmt.Sprintf("%d of 8", partSize), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				network, store := memnet.New(), &memberStore{records: map[string][]byte{}}
				// The only seed of the settings is replaced at another address before the cut.
				seed := startListedMember(network, store, 8)
				var members []*listedMember
				for i := range 8 {
					members = append(members, startListedMember(network, store, i, listedAddress(8)))
				}
				time.Sleep(time.Second)
				seed.stop()
				defer func() {
					for _, m := range members {
						m.stop()
					}
				}()
				time.Sleep(10 * time.Second)
				isInPart := func(a netip.AddrPort) bool { return a.Addr().As4()[3] <= byte(partSize) }
				network.SetDrop(func(from, to netip.AddrPort) bool { return isInPart(from) != isInPart(to) })
				time.Sleep(cut)
				for _, m := range members {
					if known := m.node.View().Known; known > 8-partSize && known > partSize {
						t.Fatalf("a member still knows %d members at the end of the cut", known)
					}
				}
				network.SetDrop(nil)
				const bound = memberListCheckInterval + 3*time.Second
				time.Sleep(bound)
				for _, m := range members {
					if live := len(m.node.View().Live); live != 8 {
						t.Errorf("a member sees %d live members %v after the cut, want 8", live, bound)
					}
				}
			})
		})
	}
}

// Guards against groups of entries without a common seed that stay apart after a start beside a slow
// store: both read the list before either has written it, and the later write replaces the earlier
// one. Each group then grants all allowances.
func TestGroupsThatWriteTheMemberListAtTheSameTimeMeet(t *testing.T) {
	const bound = 3 * time.Second // in which members find each other where a common seed runs
	for _, latency := range []time.Duration{4 * time.Millisecond, 240 * time.Millisecond, 400 * time.Millisecond} {
		for _, offset := range []time.Duration{0, 150 * time.Millisecond, 300 * time.Millisecond} {
			t.Run(fmt.Sprintf("latency %v, offset %v", latency, offset), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					network, store := memnet.New(), &memberStore{records: map[string][]byte{}, latency: latency}
					var members []*listedMember
					for group := range 2 {
						first := listedAddress(2 * group)
						for i := range 2 {
							members = append(members, startListedMember(network, store, 2*group+i, first))
						}
						time.Sleep(offset)
					}
					defer func() {
						for _, m := range members {
							m.stop()
						}
					}()
					time.Sleep(bound)
					for i, m := range members {
						if live := len(m.node.View().Live); live != len(members) {
							t.Errorf("member %d sees %d live members after %v, want %d", i, live, bound, len(members))
						}
					}
				})
			})
		}
	}
}

// Guards against calls of the store that grow with each write of the list: the first reader of a cluster
// that is complete reads the list once each memberListCheckInterval.
func TestMemberListIsReadOncePerCheckInterval(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		network, store := memnet.New(), &memberStore{records: map[string][]byte{}, latency: 4 * time.Millisecond}
		for i := range 6 {
			defer startListedMember(network, store, i, listedAddress(0)).stop()
		}
		calls := func() (reads, puts int) {
			store.mu.Lock()
			defer store.mu.Unlock()
			return store.reads, store.puts
		}
		for _, puts := calls(); puts == 0; _, puts = calls() {
			time.Sleep(time.Millisecond)
		}
		readsBefore, putsBefore := calls()
		time.Sleep(memberListCheckInterval - memberListInterval)
		if reads, puts := calls(); reads != readsBefore || puts != putsBefore {
			t.Errorf("%d reads and %d writes in the %v after the list was written, want none",
				reads-readsBefore, puts-putsBefore, memberListCheckInterval-memberListInterval)
		}
	})
}

// Guards against a part that removes the addresses of another one from the list in the store, and
// against addresses of members that are gone for good that stay there.
func TestMemberListKeepsOtherPartsAndDropsGoneMembers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := &memberStore{records: map[string][]byte{memberListKey: []byte(`["10.0.0.200:7000"]`)}}
		network := memnet.New()
		members := []*listedMember{startListedMember(network, store, 0), startListedMember(network, store, 1, listedAddress(0))}
		defer func() {
			for _, m := range members {
				m.stop()
			}
		}()
		time.Sleep(2 * memberListCheckInterval)
		listed := func() []netip.AddrPort {
			l := &memberList{log: store, events: eventlog.New(&bytes.Buffer{}, log.InfoLevel)}
			defer l.events.Close()
			addresses, _, err := l.read(t.Context())
			if err != nil {
				t.Fatal(err)
			}
			return addresses
		}
		other := netip.MustParseAddrPort("10.0.0.200:7000")
		if got := listed(); len(got) != 3 || !slices.Contains(got, other) {
			t.Errorf("list %v, want both members and %v", got, other)
		}
		time.Sleep(memberListRetention + 2*memberListCheckInterval)
		if got := listed(); len(got) != 2 || slices.Contains(got, other) {
			t.Errorf("list %v after %v without %v, want both members only", got, memberListRetention, other)
		}
		if store.puts > 3 {
			t.Errorf("the list was written %d times for two members and one that is gone, want at most 3", store.puts)
		}
	})
}
