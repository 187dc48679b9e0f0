package cluster

import (
	"encoding/binary"
	"errors"
	"math"
	"time"
)

// Kinds of datagrams, the first byte of each.
const (
	kindHeartbeat = 0xB1
	kindHello     = 0xB2
	// kindRelay is a heartbeat that the receiver relays to its availability zone.
	// kindBatch is a batch of relayed heartbeats: for each the sender's address, the
	// length (2 bytes) and the heartbeat.
	kindRelay = 0xB3
	kindBatch = 0xB4
	// kindQuestion and kindAnswer carry a query: the topic, an id (8 bytes) and the payload.
	kindQuestion = 0xB5
	kindAnswer   = 0xB6
)

const (
	// maxDatagram is the size of the receive buffer for one datagram, in bytes.
	maxDatagram = 60 << 10
	// maxHeartbeatBytes is the approximate size above which a heartbeat is split into
	// parts, so that each part fits into one packet on a link with the usual MTU.
	maxHeartbeatBytes = 1300
	// ageUnit is the resolution of ages in a heartbeat.
	ageUnit = time.Millisecond
	// maxAge bounds the ages in a datagram; older ones are read as this age.
	maxAge = time.Hour
)

const (
	flagReady        = 1
	flagLeaving      = 2
	flagStoreFailing = 4
	flagDirect       = 8
)

// ServerID identifies a backend server in heartbeats by a hash. With 40 servers, two
// of them share an id with a probability of 1 in 5 million; their reports are then
// mixed up.
type ServerID uint32

// LoadReport is the load that a backend server reported about itself.
type LoadReport struct {
	Server ServerID
	// InFlight and Queue count the requests that run and that wait at the server.
	InFlight, Queue int
	// Slowdown is the current service time on the server's host, in percent of the
	// nominal service time.
	Slowdown int
	// Draining is set if the server accepts no new requests.
	Draining bool
	// Age is the age of the report at the time the heartbeat was sent.
	Age time.Duration
}

// RequestCounts counts the requests that a member sent to a backend server since the
// member's last heartbeat.
type RequestCounts struct {
	Server ServerID
	// Sent, Completed and Failed count the requests that were sent, that got a
	// complete response, and that failed.
	Sent, Completed, Failed int
	// SentAge is the time from the last sent request to the heartbeat.
	SentAge time.Duration
}

// RequestLimit is the request limit that a backend server named in a response.
type RequestLimit struct {
	Server ServerID
	// PerSecond is the limit in requests a second for all entries together.
	PerSecond float64
	// Ended is set if the response named no limit, after earlier ones had named one.
	Ended bool
	// Age is the age of the response at the time the heartbeat was sent.
	Age time.Duration
}

// WarmUp tells that a backend server is warming up.
type WarmUp struct {
	Server ServerID
	// Left is how long its warm-up still lasted when it said so.
	Left time.Duration
	// Age is how long ago that was at the time the heartbeat was sent.
	Age time.Duration
}

// Heartbeat is the message that members send to each other periodically.
type Heartbeat struct {
	// Incarnation is the incarnation of the sender.
	Incarnation uint64
	// Sequence increases with each heartbeat of an incarnation.
	Sequence uint64
	// MembersHash is a hash of the set of members that the sender sees live.
	MembersHash uint32
	// Direct is set in a heartbeat without reports that the receiver asked for by a hello. It
	// does not come by the path of regular heartbeats.
	Direct bool
	Status
	Reports       []LoadReport
	RequestCounts []RequestCounts
	RequestLimits []RequestLimit
	CrashReports  []CrashReport
	WarmUps       []WarmUp
}

var errMalformedHeartbeat = errors.New("malformed heartbeat")

// ErrQueryTooLarge is returned for a question that does not fit into one datagram.
var ErrQueryTooLarge = errors.New("the question of a query is too large")

// append appends the encoded heartbeat to out.
func (hb *Heartbeat) append(out []byte) []byte {
	out = append(out, kindHeartbeat)
	out = binary.LittleEndian.AppendUint64(out, hb.Incarnation)
	out = binary.AppendUvarint(out, hb.Sequence)
	out = binary.LittleEndian.AppendUint32(out, hb.MembersHash)
	out = append(out, hb.flags())
	out = binary.AppendUvarint(out, uint64(hb.Revision))
	out = binary.AppendUvarint(out, uint64(hb.ServersVersion))
	out = binary.AppendUvarint(out, uint64(hb.StoreReadAge/ageUnit))
	out = binary.AppendUvarint(out, uint64(len(hb.Reports)))
	for _, r := range hb.Reports {
		out = r.append(out)
	}
	out = binary.AppendUvarint(out, uint64(len(hb.RequestCounts)))
	for _, c := range hb.RequestCounts {
		out = c.append(out)
	}
	// Earlier versions of this program send heartbeats that end here, and ignore the rest.
	out = binary.AppendUvarint(out, uint64(len(hb.RequestLimits)))
	for _, l := range hb.RequestLimits {
		out = l.append(out)
	}
	out = binary.LittleEndian.AppendUint32(out, hb.ServersHash)
	if len(hb.CrashReports) == 0 && !hb.hasZones() {
		return out
	}
	out = binary.AppendUvarint(out, uint64(len(hb.CrashReports)))
	for _, r := range hb.CrashReports {
		out = r.append(out)
	}
	if !hb.hasZones() {
		return out
	}
	out = binary.AppendUvarint(out, uint64(hb.EvacuationsVersion))
	out = binary.LittleEndian.AppendUint32(out, hb.EvacuationsHash)
	if len(hb.WarmUps) == 0 {
		return out
	}
	out = binary.AppendUvarint(out, uint64(len(hb.WarmUps)))
	for _, w := range hb.WarmUps {
		out = w.append(out)
	}
	return out
}

// hasZones reports whether the heartbeat has the version of the evacuated zones, or what follows it.
func (hb *Heartbeat) hasZones() bool { return hb.EvacuationsVersion != 0 || len(hb.WarmUps) > 0 }

func (w WarmUp) append(out []byte) []byte {
	out = binary.LittleEndian.AppendUint32(out, uint32(w.Server))
	out = binary.AppendUvarint(out, uint64(max(w.Left, 0)/ageUnit))
	return binary.AppendUvarint(out, uint64(max(w.Age, 0)/ageUnit))
}

func (hb *Heartbeat) flags() byte {
	var flags byte
	if hb.Ready {
		flags |= flagReady
	}
	if hb.Leaving {
		flags |= flagLeaving
	}
	if hb.StoreFailing {
		flags |= flagStoreFailing
	}
	if hb.Direct {
		flags |= flagDirect
	}
	return flags
}

func (r LoadReport) append(out []byte) []byte {
	out = binary.LittleEndian.AppendUint32(out, uint32(r.Server))
	draining := uint64(0)
	if r.Draining {
		draining = 1
	}
	out = binary.AppendUvarint(out, uint64(r.InFlight)<<1|draining)
	out = binary.AppendUvarint(out, uint64(r.Queue))
	out = binary.AppendUvarint(out, uint64(r.Slowdown))
	return binary.AppendUvarint(out, uint64(max(r.Age, 0)/ageUnit))
}

func (c RequestCounts) append(out []byte) []byte {
	out = binary.LittleEndian.AppendUint32(out, uint32(c.Server))
	out = binary.AppendUvarint(out, uint64(c.Sent))
	out = binary.AppendUvarint(out, uint64(c.Completed))
	out = binary.AppendUvarint(out, uint64(c.Failed))
	return binary.AppendUvarint(out, uint64(max(c.SentAge, 0)/ageUnit))
}

// limitUnit is the resolution of request limits in a heartbeat, in requests a second.
const limitUnit = 0.001

// append appends the encoded limit: zero if it has ended, otherwise the number of units
// plus one.
func (l RequestLimit) append(out []byte) []byte {
	out = binary.LittleEndian.AppendUint32(out, uint32(l.Server))
	units := uint64(0)
	if !l.Ended {
		units = uint64(min(l.PerSecond/limitUnit, maxValue/2)) + 1
	}
	out = binary.AppendUvarint(out, units)
	return binary.AppendUvarint(out, uint64(max(l.Age, 0)/ageUnit))
}

// decoder reads fields one after another. After the first error all fields read as
// zero.
type decoder struct {
	data   []byte
	failed bool
}

func (d *decoder) fixed(n int) []byte {
	if d.failed || len(d.data) < n {
		d.failed = true
		return make([]byte, n)
	}
	field := d.data[:n]
	d.data = d.data[n:]
	return field
}

// maxValue bounds every number in a heartbeat, so that sums of them do not overflow.
const maxValue = 1 << 52

func (d *decoder) uvarint() uint64 {
	value, n := binary.Uvarint(d.data)
	if d.failed || n <= 0 || value > maxValue {
		d.failed = true
		return 0
	}
	d.data = d.data[n:]
	return value
}

// count reads a number of elements. It fails if the number exceeds the remaining
// bytes.
func (d *decoder) count() int {
	n := d.uvarint()
	if n > uint64(len(d.data)) {
		d.failed = true
		return 0
	}
	return int(n)
}

// cappedInt reads a number and caps it at a value above any real request count of a
// server.
func (d *decoder) cappedInt() int { return int(min(d.uvarint(), 1<<20)) }

func (d *decoder) age() time.Duration {
	return time.Duration(min(d.uvarint(), uint64(maxAge/ageUnit))) * ageUnit
}

// decodeHeartbeat decodes a heartbeat, without its leading kind byte.
func decodeHeartbeat(data []byte) (Heartbeat, error) {
	d := &decoder{data: data}
	hb := Heartbeat{Incarnation: binary.LittleEndian.Uint64(d.fixed(8)), Sequence: d.uvarint()}
	hb.MembersHash = binary.LittleEndian.Uint32(d.fixed(4))
	flags := d.fixed(1)[0]
	hb.Ready, hb.Leaving, hb.StoreFailing = flags&flagReady != 0, flags&flagLeaving != 0, flags&flagStoreFailing != 0
	hb.Direct = flags&flagDirect != 0
	hb.Revision, hb.ServersVersion = int64(d.uvarint()), int64(d.uvarint())
	hb.StoreReadAge = d.age()
	for range d.count() {
		hb.Reports = append(hb.Reports, d.report())
	}
	for range d.count() {
		hb.RequestCounts = append(hb.RequestCounts, d.requestCounts())
	}
	if !d.failed && len(d.data) > 0 {
		for range d.count() {
			hb.RequestLimits = append(hb.RequestLimits, d.requestLimit())
		}
		hb.ServersHash = binary.LittleEndian.Uint32(d.fixed(4))
	}
	if !d.failed && len(d.data) > 0 {
		for range d.count() {
			hb.CrashReports = append(hb.CrashReports, d.crashReport())
		}
	}
	if !d.failed && len(d.data) > 0 {
		hb.EvacuationsVersion = int64(d.uvarint())
		hb.EvacuationsHash = binary.LittleEndian.Uint32(d.fixed(4))
	}
	if !d.failed && len(d.data) > 0 {
		for range d.count() {
			hb.WarmUps = append(hb.WarmUps, WarmUp{Server: ServerID(binary.LittleEndian.Uint32(d.fixed(4))), Left: d.age(), Age: d.age()})
		}
	}
	if d.failed {
		return Heartbeat{}, errMalformedHeartbeat
	}
	return hb, nil
}

func (d *decoder) report() LoadReport {
	r := LoadReport{Server: ServerID(binary.LittleEndian.Uint32(d.fixed(4)))}
	load := d.cappedInt()
	r.InFlight, r.Draining = load>>1, load&1 == 1
	r.Queue, r.Slowdown, r.Age = d.cappedInt(), d.cappedInt(), d.age()
	return r
}

func (d *decoder) requestLimit() RequestLimit {
	l := RequestLimit{Server: ServerID(binary.LittleEndian.Uint32(d.fixed(4)))}
	if units := d.uvarint(); units > 0 {
		l.PerSecond = float64(units-1) * limitUnit
	} else {
		l.Ended = true
	}
	l.Age = d.age()
	return l
}

func (d *decoder) requestCounts() RequestCounts {
	return RequestCounts{
		Server: ServerID(binary.LittleEndian.Uint32(d.fixed(4))),
		Sent:   d.cappedInt(), Completed: d.cappedInt(), Failed: d.cappedInt(), SentAge: d.age(),
	}
}

// hello introduces its sender and may exchange the records of other members.
type hello struct {
	From Member
	// WantHello requests a hello in return.
	WantHello bool
	// WantHeartbeats requests heartbeats that are sent to the sender directly for directPeriod,
	// as no regular ones of the receiver reach it.
	WantHeartbeats bool
	// WantMembers requests the records of the members that the receiver sees live and
	// that are not in Known.
	WantMembers bool
	// Known are the ids of the members that the sender sees live.
	Known []uint32
	// Wanted are the ids of members whose records the sender requests.
	Wanted []uint32
	// Members are records that the receiver may lack.
	Members []memberRecord
}

// memberRecord describes a member to a third one.
type memberRecord struct {
	Member
	// Age is the time since the member was last seen.
	Age time.Duration
}

const (
	flagWantHello      = 1
	flagWantMembers    = 2
	flagWantHeartbeats = 4
)

// append appends the encoded hello to out.
func (h *hello) append(out []byte) []byte {
	var flags byte
	if h.WantHello {
		flags |= flagWantHello
	}
	if h.WantMembers {
		flags |= flagWantMembers
	}
	if h.WantHeartbeats {
		flags |= flagWantHeartbeats
	}
	out = append(out, kindHello, flags)
	out = h.From.append(out)
	out = appendIDs(out, h.Known)
	out = appendIDs(out, h.Wanted)
	out = binary.AppendUvarint(out, uint64(len(h.Members)))
	for _, m := range h.Members {
		out = m.append(out)
		out = binary.AppendUvarint(out, uint64(max(m.Age, 0)/ageUnit))
	}
	return out
}

func appendIDs(out []byte, ids []uint32) []byte {
	out = binary.AppendUvarint(out, uint64(len(ids)))
	for _, id := range ids {
		out = binary.LittleEndian.AppendUint32(out, id)
	}
	return out
}

func (m *Member) append(out []byte) []byte {
	for _, text := range []string{m.VM, m.Zone, m.CallerAddress, m.PeerAddress} {
		out = binary.AppendUvarint(out, uint64(len(text)))
		out = append(out, text...)
	}
	out = appendAddress(out, m.DatagramAddress)
	out = binary.LittleEndian.AppendUint64(out, m.Incarnation)
	return binary.LittleEndian.AppendUint32(out, math.Float32bits(float32(m.Weight)))
}

var errMalformedHello = errors.New("malformed hello")

// decodeHello decodes a hello, without its leading kind byte.
func decodeHello(data []byte) (*hello, error) {
	d := &decoder{data: data}
	flags := d.fixed(1)[0]
	h := &hello{
		WantHello: flags&flagWantHello != 0, WantMembers: flags&flagWantMembers != 0,
		WantHeartbeats: flags&flagWantHeartbeats != 0, From: d.member(),
	}
	h.Known, h.Wanted = d.ids(), d.ids()
	for range d.count() {
		h.Members = append(h.Members, memberRecord{Member: d.member(), Age: d.age()})
		if d.failed {
			break
		}
	}
	if d.failed {
		return nil, errMalformedHello
	}
	return h, nil
}

func (d *decoder) ids() []uint32 {
	var ids []uint32
	for range d.count() {
		ids = append(ids, binary.LittleEndian.Uint32(d.fixed(4)))
		if d.failed {
			return nil
		}
	}
	return ids
}

func (d *decoder) text() string { return string(d.fixed(d.count())) }

func (d *decoder) member() Member {
	m := Member{VM: d.text(), Zone: d.text(), CallerAddress: d.text(), PeerAddress: d.text()}
	m.DatagramAddress, _, _ = decodeAddress(d.fixed(addressBytes))
	m.Incarnation = binary.LittleEndian.Uint64(d.fixed(8))
	m.Weight = float64(math.Float32frombits(binary.LittleEndian.Uint32(d.fixed(4))))
	if m.VM == "" || !m.DatagramAddress.IsValid() || m.DatagramAddress.Port() == 0 || !(m.Weight >= 0) {
		d.failed = true
	}
	return m
}
