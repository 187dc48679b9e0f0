package cluster

import (
	"bytes"
	"math"
	"net/netip"
	"reflect"
	"testing"
	"time"
)

var sampleHeartbeat = Heartbeat{
	Incarnation: 1 << 60,
	Sequence:    1 << 40,
	MembersHash: 7,
	Direct:      true,
	Status:      Status{Ready: true, Leaving: true, Revision: 12, ServersVersion: 900, ServersHash: 1 << 30, StoreReadAge: 450 * time.Millisecond, StoreFailing: true, EvacuationsVersion: 1 << 50, EvacuationsHash: 1 << 31},
	Reports: []LoadReport{
		{Server: 1, InFlight: 3, Queue: 2, Slowdown: 500, Age: 4 * time.Millisecond},
		{Server: 1 << 31, Draining: true},
	},
	RequestCounts: []RequestCounts{{Server: 9, Sent: 1, Completed: 2, Failed: 3, SentAge: 30 * time.Millisecond}},
	RequestLimits: []RequestLimit{{Server: 9, PerSecond: 2.75, Age: 20 * time.Millisecond}, {Server: 3, Ended: true}, {Server: 4}},
	CrashReports: []CrashReport{
		{Request: RequestID{Head: 5, Fingerprint: [16]byte{1, 15: 2}}, Server: 9, Age: 26 * time.Hour},
		{Request: RequestID{Head: 6}, Cleared: true},
	},
	WarmUps: []WarmUp{{Server: 7, Left: 2900 * time.Millisecond, Age: 30 * time.Millisecond}, {Server: 1 << 31, Left: time.Millisecond}},
}

func TestHeartbeatRoundTrip(t *testing.T) {
	got, err := decodeHeartbeat(sampleHeartbeat.append(nil)[1:])
	if err != nil || !reflect.DeepEqual(got, sampleHeartbeat) {
		t.Errorf("decoded %+v, %v, want the encoded heartbeat", got, err)
	}
}

// While a cluster is updated, versions of this program with and without request limits in
// their heartbeats read each other's.
func TestHeartbeatWithoutLimitsIsAsBefore(t *testing.T) {
	with, without := sampleHeartbeat, sampleHeartbeat
	without.RequestLimits, without.ServersHash, without.CrashReports, without.WarmUps = nil, 0, nil, nil
	without.EvacuationsVersion, without.EvacuationsHash = 0, 0
	const lengthOfRest = 1 + 4 // the number of limits and the hash
	earlier := without.append(nil)
	earlier = earlier[:len(earlier)-lengthOfRest]
	if got, err := decodeHeartbeat(earlier[1:]); err != nil || !reflect.DeepEqual(got, without) {
		t.Errorf("decoded %+v, %v, want the heartbeat without limits and hash", got, err)
	}
	if data := with.append(nil); !bytes.HasPrefix(data, earlier) {
		t.Error("limits and hash change what earlier versions read, want them after it")
	}
}

// Crash reports follow what versions without them read, and take no byte where there are none.
func TestHeartbeatWithoutCrashReportsIsAsBefore(t *testing.T) {
	without := sampleHeartbeat
	without.CrashReports, without.WarmUps = nil, nil
	without.EvacuationsVersion, without.EvacuationsHash = 0, 0
	earlier := without.append(nil)
	if got, err := decodeHeartbeat(earlier[1:]); err != nil || !reflect.DeepEqual(got, without) {
		t.Errorf("decoded %+v, %v, want the heartbeat without crash reports", got, err)
	}
	if data := sampleHeartbeat.append(nil); !bytes.HasPrefix(data, earlier) {
		t.Error("crash reports change what earlier versions read, want them after it")
	}
}

// The version of the evacuated zones and warm-ups follow what versions without them read, and take
// no byte where there are none. Crash reports need not be there.
func TestHeartbeatWithoutEvacuationsIsAsBefore(t *testing.T) {
	for _, c := range []struct {
		reports []CrashReport
		warmUps []WarmUp
		version int64
	}{
		{nil, nil, 1},
		{sampleHeartbeat.CrashReports, nil, 1},
		{nil, sampleHeartbeat.WarmUps, 0},
		{sampleHeartbeat.CrashReports, sampleHeartbeat.WarmUps, 1},
	} {
		with := sampleHeartbeat
		with.CrashReports, with.WarmUps, with.EvacuationsVersion, with.EvacuationsHash = c.reports, c.warmUps, c.version, uint32(c.version)
		without := with
		without.EvacuationsVersion, without.EvacuationsHash, without.WarmUps = 0, 0, nil
		earlier := without.append(nil)
		if got, err := decodeHeartbeat(earlier[1:]); err != nil || !reflect.DeepEqual(got, without) {
			t.Errorf("decoded %+v, %v, want the heartbeat without evacuations", got, err)
		}
		data := with.append(nil)
		if !bytes.HasPrefix(data, earlier) {
			t.Error("evacuations change what earlier versions read, want them after it")
		}
		if got, err := decodeHeartbeat(data[1:]); err != nil || !reflect.DeepEqual(got, with) {
			t.Errorf("decoded %+v, %v, want the heartbeat with evacuations", got, err)
		}
	}
}

// Many crash reports and warm-ups are split into parts that fit into a packet, and none is lost.
func TestCrashReportsAreSplitIntoParts(t *testing.T) {
	n := &Node{}
	n.view.Store(&View{})
	hb := sampleHeartbeat
	for i := range 200 {
		hb.CrashReports = append(hb.CrashReports, CrashReport{Request: RequestID{Head: uint32(i)}})
		hb.WarmUps = append(hb.WarmUps, WarmUp{Server: ServerID(i), Left: time.Hour, Age: time.Hour})
	}
	got, warmUps := 0, 0
	for _, part := range n.encode(&hb) {
		if len(part) > maxHeartbeatBytes+100 {
			t.Errorf("a part has %d B, want about %d at most", len(part), maxHeartbeatBytes)
		}
		decoded, err := decodeHeartbeat(part[1:])
		if err != nil {
			t.Fatal(err)
		}
		got += len(decoded.CrashReports)
		warmUps += len(decoded.WarmUps)
	}
	if warmUps != len(hb.WarmUps) {
		t.Errorf("%d warm-ups in all parts, want %d", warmUps, len(hb.WarmUps))
	}
	if got != len(hb.CrashReports) {
		t.Errorf("%d crash reports in all parts, want %d", got, len(hb.CrashReports))
	}
}

func TestAddressRoundTrip(t *testing.T) {
	want := netip.MustParseAddrPort("10.1.2.3:65535")
	got, rest, ok := decodeAddress(append(appendAddress(nil, want), 1))
	if !ok || got != want || len(rest) != 1 {
		t.Errorf("decoded %v, rest %v, ok %v; want 10.1.2.3:65535, a rest of 1 byte, true", got, rest, ok)
	}
}

// Any input is decoded or rejected, with no more elements than bytes and no negative
// numbers.
func FuzzDecodeHeartbeat(f *testing.F) {
	f.Add(sampleHeartbeat.append(nil)[1:])
	f.Add([]byte{})
	f.Add([]byte{255, 255, 255, 255, 255, 255, 255, 255, 255, 255, 255})
	f.Fuzz(func(t *testing.T, data []byte) {
		hb, err := decodeHeartbeat(data)
		if err != nil {
			return
		}
		if elements := len(hb.Reports) + len(hb.RequestCounts) + len(hb.RequestLimits); elements > len(data) {
			t.Errorf("decoded %d elements from %d bytes", elements, len(data))
		}
		if hb.StoreReadAge < 0 || hb.Revision < 0 || hb.ServersVersion < 0 {
			t.Errorf("status %+v has a negative number", hb.Status)
		}
		for _, l := range hb.RequestLimits {
			if l.Age < 0 || !(l.PerSecond >= 0) || math.IsInf(l.PerSecond, 0) {
				t.Errorf("limit %+v is no number from 0 on, or has a negative age", l)
			}
		}
		for _, w := range hb.WarmUps {
			if w.Left < 0 || w.Age < 0 {
				t.Errorf("warm-up %+v has a negative time", w)
			}
		}
		for _, r := range hb.Reports {
			if r.Age < 0 || r.InFlight < 0 || r.Queue < 0 {
				t.Errorf("report %+v has a negative number", r)
			}
		}
	})
}

var sampleHello = hello{
	From: Member{
		VM: "front-a-1", Zone: "a", CallerAddress: "10.0.0.1:8161", PeerAddress: "10.0.0.1:7720",
		DatagramAddress: netip.MustParseAddrPort("10.0.0.1:7720"), Incarnation: 1 << 60, Weight: 0.5,
	},
	WantHello: true, WantMembers: true, WantHeartbeats: true, Known: []uint32{1, 1 << 31}, Wanted: []uint32{7},
	Members: []memberRecord{{Member: Member{
		VM: "front-b-1", Zone: "b", DatagramAddress: netip.MustParseAddrPort("10.0.0.2:7720"), Incarnation: 3,
	}, Age: 20 * time.Millisecond}},
}

func TestHelloRoundTrip(t *testing.T) {
	got, err := decodeHello(sampleHello.append(nil)[1:])
	if err != nil || !reflect.DeepEqual(*got, sampleHello) {
		t.Errorf("decoded %+v, %v, want the encoded hello", got, err)
	}
}

// Any input is decoded or rejected, with no more elements than bytes and each member with a
// name and an address.
func FuzzDecodeHello(f *testing.F) {
	f.Add(sampleHello.append(nil)[1:])
	f.Add([]byte{})
	f.Add([]byte{255, 255, 255, 255, 255, 255, 255, 255, 255, 255, 255})
	f.Fuzz(func(t *testing.T, data []byte) {
		h, err := decodeHello(data)
		if err != nil {
			return
		}
		if len(h.Known)+len(h.Wanted)+len(h.Members) > len(data) {
			t.Errorf("decoded %d elements from %d bytes", len(h.Known)+len(h.Wanted)+len(h.Members), len(data))
		}
		for _, m := range append(h.Members, memberRecord{Member: h.From}) {
			if m.VM == "" || m.DatagramAddress.Port() == 0 || m.Age < 0 || !(m.Weight >= 0) {
				t.Errorf("member %+v is not usable", m)
			}
		}
	})
}
