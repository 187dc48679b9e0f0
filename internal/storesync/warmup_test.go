package storesync

import (
	"fmt"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"chestnutrouter.example/chestnutrouter/internal/fleet"
	"chestnutrouter.example/chestnutrouter/internal/steady"
)

// decodeWarm decodes "START SEQUENCE LEFT", in milliseconds, as the platform's records are decoded.
func decodeWarm(key string, value []byte) (fleet.VM, error) {
	vm := fleet.VM{Name: key, State: fleet.Live}
	var left int64
	if _, err := fmt.Sscan(string(value), &vm.StartedAt, &vm.Sequence, &left); err != nil {
		return fleet.VM{}, err
	}
	vm.Incarnation = vm.StartedAt
	if left > 0 {
		vm.WarmUntil = steady.Millis(time.Now().Add(time.Duration(left) * time.Millisecond))
	}
	return vm, nil
}

// A record says how much of its warm-up a server had left when it wrote it. Members that start or
// read a restored store see it long after that: all servers would be taken for cold at once, and
// get next to nothing. What a server writes anew counts, also if it began long ago.
func TestWarmUpOfAnOldRecordIsOver(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		cold := func(s *testSyncer) string {
			var names []string
			for _, vm := range s.Syncer.servers.servers() {
				if vm.WarmUntil > steady.Millis(time.Now()) {
					names = append(names, vm.Name)
				}
			}
			return strings.Join(names, " ")
		}
		check := func(what string, s *testSyncer, want string) {
			t.Helper()
			if got := cold(s); got != want {
				t.Errorf("%s: cold servers %q, want %q", what, got, want)
			}
		}
		newMember := func(log *fakeLog) *testSyncer {
			s := newTestSyncer()
			s.options.DecodeServer = decodeWarm
			s.log, s.options.Log = log, log
			return s
		}
		log := &fakeLog{}
		put := func(key string, started time.Time, sequence, left int) {
			log.put(key, fmt.Sprint(started.UnixMilli(), sequence, left))
		}
		began := time.Now()
		put("old", began, 1, 3000)
		put("again", began, 1, 3000)
		time.Sleep(time.Minute)
		s := newMember(log)
		s.readServers(t.Context())
		check("first read, a minute later", s, "")
		put("new", time.Now(), 1, 3000)
		s.readServers(t.Context())
		check("a server that starts", s, "new")
		starting := newMember(log)
		starting.readServers(t.Context())
		check("a member that starts meanwhile", starting, "new")
		pulling := newMember(log)
		pullAll(t, pulling, s)
		check("a member that pulls meanwhile", pulling, "new")
		time.Sleep(10 * time.Second)
		put("again", began, 2, 2000)
		s.readServers(t.Context())
		check("a server that is cold again", s, "again")
		pullAll(t, pulling, s)
		check("the same, pulled", pulling, "again")
		time.Sleep(10 * time.Second)
		log.restore(len(log.records))
		s.readServers(t.Context())
		check("a restored store", s, "")
		put("old", time.Now(), 1, 3000)
		s.readServers(t.Context())
		check("a new start under the same name", s, "old")
	})
}
