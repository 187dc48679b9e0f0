package cluster

import (
	"encoding/binary"
	"encoding/json"
	"errors"
	"net/netip"
	"time"
)

// Kinds of datagrams, the first byte of each.
const (
	kindBeat  = 0xB1
	kindHello = 0xB2
	// kindCollect is a beat for the receiver to pass on to its availability zone,
	// kindDigest are beats that were passed on: for each the sender's address, the
	// length (2 bytes) and the beat.
	kindCollect = 0xB3
	kindDigest  = 0xB4
)

const (
	// maxDatagram is the largest datagram that is read, in bytes.
	maxDatagram = 60 << 10
	// beatBytes is the size past which a beat is sent in parts, so that it stays
	// within one packet of a usual link.
	beatBytes = 1300
	// ageUnit is the resolution of ages in a beat.
	ageUnit = time.Millisecond
)

const (
	flagReady   = 1
	flagLeaving = 2
)

// ServerID stands for a backend server in beats. Two servers share one by a
// chance of 1 in 5 million for 40 servers; their reports are then mixed up.
type ServerID uint32

// LoadReport is the load of a backend server, as it said itself.
type LoadReport struct {
	Server ServerID
	// InFlight and Queue are the requests that run and that wait there.
	InFlight, Queue int
	// Slowdown is how long work takes on its host now, in percent of the usual.
	Slowdown int
	// Draining says that the server takes no new work.
	Draining bool
	// Age is how old the report was when the beat was sent.
	Age time.Duration
}

// RequestCounts is the requests that a member sent to a backend server since its last beat.
type RequestCounts struct {
	Server ServerID
	// Sent, Completed and Failed count requests that were sent, answered whole, failed.
	Sent, Completed, Failed int
	// SentAge is how long ago the last one was sent when the beat was.
	SentAge time.Duration
}

// Heartbeat is the message that members send all the time.
type Heartbeat struct {
	// Incarnation is the sender's.
	Incarnation uint64
	// Sequence grows with each beat of an incarnation.
	Sequence uint64
	// MembersHash stands for the set of members that the sender sees live.
	MembersHash uint32
	Status
	Reports       []LoadReport
	RequestCounts []RequestCounts
}

var errBeat = errors.New("malformed beat")

// append encodes the beat.
func (b *Heartbeat) append(out []byte) []byte {
	out = append(out, kindBeat)
	out = binary.LittleEndian.AppendUint64(out, b.Incarnation)
	out = binary.AppendUvarint(out, b.Sequence)
	out = binary.LittleEndian.AppendUint32(out, b.MembersHash)
	out = append(out, b.flags())
	out = binary.AppendUvarint(out, uint64(b.Revision))
	out = binary.AppendUvarint(out, uint64(b.ServersVersion))
	out = binary.AppendUvarint(out, uint64(b.StoreReadAge/ageUnit))
	out = binary.AppendUvarint(out, uint64(len(b.Reports)))
	for _, r := range b.Reports {
		out = r.append(out)
	}
	out = binary.AppendUvarint(out, uint64(len(b.RequestCounts)))
	for _, o := range b.RequestCounts {
		out = o.append(out)
	}
	return out
}

func (b *Heartbeat) flags() byte {
	var flags byte
	if b.Ready {
		flags |= flagReady
	}
	if b.Leaving {
		flags |= flagLeaving
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

func (o RequestCounts) append(out []byte) []byte {
	out = binary.LittleEndian.AppendUint32(out, uint32(o.Server))
	out = binary.AppendUvarint(out, uint64(o.Sent))
	out = binary.AppendUvarint(out, uint64(o.Completed))
	out = binary.AppendUvarint(out, uint64(o.Failed))
	return binary.AppendUvarint(out, uint64(max(o.SentAge, 0)/ageUnit))
}

// decoder reads fields one after another; after the first error all are zero.
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

// mostValue bounds every number of a beat, so that sums of them stay in range.
const mostValue = 1 << 52

func (d *decoder) uvarint() uint64 {
	value, n := binary.Uvarint(d.data)
	if d.failed || n <= 0 || value > mostValue {
		d.failed = true
		return 0
	}
	d.data = d.data[n:]
	return value
}

// count bounds a number of elements by the bytes that are left.
func (d *decoder) count() int {
	n := d.uvarint()
	if n > uint64(len(d.data)) {
		d.failed = true
		return 0
	}
	return int(n)
}

// small reads a number that is kept within what servers can have in requests.
func (d *decoder) small() int { return int(min(d.uvarint(), 1<<20)) }

func (d *decoder) age() time.Duration {
	const longest = uint64(time.Hour / ageUnit)
	return time.Duration(min(d.uvarint(), longest)) * ageUnit
}

// decodeBeat reads a beat after its kind.
func decodeBeat(data []byte) (Heartbeat, error) {
	d := &decoder{data: data}
	b := Heartbeat{Incarnation: binary.LittleEndian.Uint64(d.fixed(8)), Sequence: d.uvarint()}
	b.MembersHash = binary.LittleEndian.Uint32(d.fixed(4))
	flags := d.fixed(1)[0]
	b.Ready, b.Leaving = flags&flagReady != 0, flags&flagLeaving != 0
	b.Revision, b.ServersVersion = int64(d.uvarint()), int64(d.uvarint())
	b.StoreReadAge = d.age()
	for range d.count() {
		b.Reports = append(b.Reports, d.report())
	}
	for range d.count() {
		b.RequestCounts = append(b.RequestCounts, d.outcome())
	}
	if d.failed {
		return Heartbeat{}, errBeat
	}
	return b, nil
}

func (d *decoder) report() LoadReport {
	r := LoadReport{Server: ServerID(binary.LittleEndian.Uint32(d.fixed(4)))}
	load := d.small()
	r.InFlight, r.Draining = load>>1, load&1 == 1
	r.Queue, r.Slowdown, r.Age = d.small(), d.small(), d.age()
	return r
}

func (d *decoder) outcome() RequestCounts {
	return RequestCounts{
		Server: ServerID(binary.LittleEndian.Uint32(d.fixed(4))),
		Sent:   d.small(), Completed: d.small(), Failed: d.small(), SentAge: d.age(),
	}
}

// hello introduces a member and tells of others.
type hello struct {
	From Member `json:"from"`
	// Answer asks for a hello in return.
	Answer bool `json:"answer"`
	// Others are the datagram addresses of members that the sender heard of late.
	Others []netip.AddrPort `json:"others,omitempty"`
	// Tell asks for the others that the receiver hears.
	Tell bool `json:"tell,omitempty"`
}

func (h *hello) encode() ([]byte, error) {
	data, err := json.Marshal(h)
	return append([]byte{kindHello}, data...), err
}

func decodeHello(data []byte) (*hello, error) {
	var h hello
	err := json.Unmarshal(data, &h)
	return &h, err
}
