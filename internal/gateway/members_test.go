package gateway

import (
	"bytes"
	"context"
	"net/netip"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/charmbracelet/log"
	"github.com/uber-go/tally/v4"

	"chestnutrouter.example/chestnutrouter/internal/admission"
	"chestnutrouter.example/chestnutrouter/internal/cluster"
	"chestnutrouter.example/chestnutrouter/internal/eventlog"
	"chestnutrouter.example/chestnutrouter/internal/logservice"
	"chestnutrouter.example/chestnutrouter/internal/service"
)

// When a large cluster starts, members join one by one. Their changes must be applied
// together a few times a second, as each takes time per pair of member and server.
func TestMemberChangesAreAppliedTogether(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var out bytes.Buffer
		events := eventlog.New(&out, log.InfoLevel)
		set := service.NewSet(service.Options{VM: "vm-0", Zone: "z", Scope: tally.NoopScope, Workers: admission.NewWorkers()})
		callbacks := &clusterCallbacks{self: "vm-0", services: set, events: events, members: newMemberGauges(tally.NoopScope)}
		v := &cluster.View{}
		const members, rounds = 30, 31
		for i := range rounds {
			if i < members {
				v = &cluster.View{Live: append(append([]cluster.LiveMember(nil), v.Live...), cluster.LiveMember{Status: cluster.Status{Ready: true}})}
				callbacks.onViewChange(v)
			}
			callbacks.applyMembers(time.Now(), v)
			time.Sleep(probeInterval)
		}
		time.Sleep(minMembersInterval)
		callbacks.applyMembers(time.Now(), v)
		events.Close()
		lines := strings.Count(out.String(), "members changed")
		if maxLines := int(rounds*probeInterval/minMembersInterval) + 2; lines > maxLines {
			t.Errorf("members applied %d times, want at most %d", lines, maxLines)
		}
		if !strings.Contains(out.String(), `"live":30`) {
			t.Errorf("the last view with 30 live members was not applied, log:\n%s", out.String())
		}
	})
}

// A store that was restored from a copy may have lost the list of members that was written
// before. Members that start after all others were lost would then find nobody.
func TestMemberListIsWrittenAgainAfterARestore(t *testing.T) {
	var epoch int64
	address := netip.MustParseAddrPort("127.0.0.1:9")
	v := &cluster.View{Live: []cluster.LiveMember{{Member: cluster.Member{VM: "vm-0", DatagramAddress: address}}}}
	store := &putLog{}
	list := &memberList{log: store, stream: "entries", events: eventlog.New(&bytes.Buffer{}, log.InfoLevel), storeEpoch: func() int64 { return epoch }}
	if err := list.write(t.Context(), v); err != nil || list.incomplete(v) {
		t.Error("the list is incomplete right after it was written")
	}
	epoch++
	if !list.incomplete(v) {
		t.Error("the list counts as complete although the store was restored")
	}
	if err := list.write(t.Context(), v); err != nil || list.incomplete(v) || store.puts != 2 {
		t.Errorf("incomplete %v after %d writes, want a complete list after 2", list.incomplete(v), store.puts)
	}
}

// putLog counts the records that are put.
type putLog struct {
	logservice.CompactedLog
	puts int
}

func (l *putLog) Put(context.Context, string, string, []byte, logservice.Position) error {
	l.puts++
	return nil
}

// A split cluster must be seen in one entry's metrics and log: how many members are missing and for how
// long, and that they are heard again.
func TestSplitClusterIsSeenInMetricsAndLog(t *testing.T) {
	var out bytes.Buffer
	events := eventlog.New(&out, log.InfoLevel)
	scope := tally.NewTestScope("", nil)
	set := service.NewSet(service.Options{VM: "vm-0", Zone: "z", Scope: tally.NoopScope, Workers: admission.NewWorkers()})
	callbacks := &clusterCallbacks{self: "vm-0", services: set, events: events, members: newMemberGauges(scope)}
	now := time.Now()
	apply := func(v *cluster.View) {
		callbacks.onViewChange(v)
		now = now.Add(2 * minMembersInterval)
		callbacks.applyMembers(now, v)
	}
	apply(&cluster.View{Live: make([]cluster.LiveMember, 1), Known: 3, Missing: 2, LongestSilence: 4 * time.Second, Silent: make([]cluster.LiveMember, 2)})
	for name, want := range map[string]float64{
		"members_live": 1, "members_silent": 2, "members_missing": 2, "members_known": 3, "members_longest_silence_seconds": 4,
	} {
		if got := scope.Snapshot().Gauges()[name+"+"]; got == nil || got.Value() != want {
			t.Errorf("gauge %s: %v, want %v", name, got, want)
		}
	}
	apply(&cluster.View{Live: make([]cluster.LiveMember, 3), Known: 3, Returned: 2, ReturnedAfter: 5 * time.Second})
	apply(&cluster.View{Live: make([]cluster.LiveMember, 2), Known: 3, Returned: 2})
	events.Close()
	if lines := strings.Count(out.String(), "members heard again"); lines != 1 || !strings.Contains(out.String(), `"silence_ms":5000`) {
		t.Errorf("%d lines of members heard again, want one after 5 s, log:\n%s", lines, out.String())
	}
}
