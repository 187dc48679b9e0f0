package cluster

import (
	"net/netip"
	"reflect"
	"testing"
	"time"
)

var sampleBeat = Heartbeat{
	Incarnation: 1 << 60,
	Sequence:    1 << 40,
	MembersHash: 7,
	Status:      Status{Ready: true, Leaving: true, Revision: 12, ServersVersion: 900, StoreReadAge: 450 * time.Millisecond},
	Reports: []LoadReport{
		{Server: 1, InFlight: 3, Queue: 2, Slowdown: 500, Age: 4 * time.Millisecond},
		{Server: 1 << 31, Draining: true},
	},
	RequestCounts: []RequestCounts{{Server: 9, Sent: 1, Completed: 2, Failed: 3, SentAge: 30 * time.Millisecond}},
}

func TestBeatSurvivesTheWire(t *testing.T) {
	got, err := decodeBeat(sampleBeat.append(nil)[1:])
	if err != nil || !reflect.DeepEqual(got, sampleBeat) {
		t.Errorf("%+v, %v", got, err)
	}
}

func TestAddressSurvivesTheWire(t *testing.T) {
	want := netip.MustParseAddrPort("10.1.2.3:65535")
	got, rest, ok := cutAddress(append(appendAddress(nil, want), 1))
	if !ok || got != want || len(rest) != 1 {
		t.Errorf("%v %v %v", got, rest, ok)
	}
}

// Whatever arrives is decoded or refused, within bounds.
func FuzzDecodeBeat(f *testing.F) {
	f.Add(sampleBeat.append(nil)[1:])
	f.Add([]byte{})
	f.Add([]byte{255, 255, 255, 255, 255, 255, 255, 255, 255, 255, 255})
	f.Fuzz(func(t *testing.T, data []byte) {
		b, err := decodeBeat(data)
		if err != nil {
			return
		}
		if len(b.Reports)+len(b.RequestCounts) > len(data) {
			t.Errorf("%d elements of %d bytes", len(b.Reports)+len(b.RequestCounts), len(data))
		}
		if b.StoreReadAge < 0 || b.Revision < 0 || b.ServersVersion < 0 {
			t.Errorf("negative status: %+v", b.Status)
		}
		for _, r := range b.Reports {
			if r.Age < 0 || r.InFlight < 0 || r.Queue < 0 {
				t.Errorf("negative report: %+v", r)
			}
		}
	})
}
