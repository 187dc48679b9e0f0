package cluster

import (
	"encoding/binary"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"

	"chestnutrouter.example/chestnutrouter/internal/fleet"
)

// ServerIDOf returns the id of a server process: a hash of its VM's name and incarnation.
func ServerIDOf(vm fleet.VM) ServerID {
	return ServerID(xxhash.Sum64String(vm.Name + "\x00" + strconv.FormatInt(vm.Incarnation, 10)))
}

// RequestID identifies the content of a request.
type RequestID struct {
	// Head is a hash of the target, which costs little to compute.
	Head uint32
	// Fingerprint is a cryptographic hash of the whole content.
	Fingerprint [16]byte
}

// CrashReport tells that a server ended while it ran a request, or that the request is cleared
// of that suspicion.
type CrashReport struct {
	Request RequestID
	// Server is the server that ended. Cleared is set if a run of the request ended with a
	// response instead.
	Server  ServerID
	Cleared bool
	// Age is how long ago that was at the time the heartbeat was sent.
	Age time.Duration
}

// append appends the encoded report. Its age may exceed that of other fields by far.
func (r CrashReport) append(out []byte) []byte {
	out = binary.LittleEndian.AppendUint32(out, r.Request.Head)
	out = append(out, r.Request.Fingerprint[:]...)
	cleared := byte(0)
	if r.Cleared {
		cleared = 1
	}
	out = append(out, cleared)
	out = binary.LittleEndian.AppendUint32(out, uint32(r.Server))
	return binary.AppendUvarint(out, uint64(max(r.Age, 0)/ageUnit))
}

func (d *decoder) crashReport() CrashReport {
	const maxAge = uint64(30 * 24 * time.Hour / ageUnit)
	r := CrashReport{Request: RequestID{Head: binary.LittleEndian.Uint32(d.fixed(4)), Fingerprint: [16]byte(d.fixed(16))}}
	r.Cleared = d.fixed(1)[0] == 1
	r.Server = ServerID(binary.LittleEndian.Uint32(d.fixed(4)))
	r.Age = time.Duration(min(d.uvarint(), maxAge)) * ageUnit
	return r
}
