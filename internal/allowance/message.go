package allowance

import (
	"encoding/binary"
	"math"
	"time"
)

// Operations of a question.
const (
	opAcquire byte = 1
	opReturn  byte = 2
	opClaim   byte = 3
	opCancel  byte = 4
)

// status is the result in an answer.
type status byte

const (
	// statusDecided means that the owner granted the units in the answer and denied the others.
	statusDecided status = 1
	// statusReduced is like statusDecided; the units would have been granted if no member were
	// missing.
	statusReduced status = 2
	// statusNotReady means that the member has become the owner only now and does not grant yet.
	statusNotReady status = 3
	// statusNotOwner means that the shard is assigned to another member in the view of the one
	// that was asked.
	statusNotOwner status = 4
)

// maxNameBytes bounds the name of a tenant in a question, so that with the longest name of a claiming
// member it fits into a datagram. The rest of a longer one is cut off.
const maxNameBytes = 900

// shardName returns the name by which the owners of a tenant's shards are found: that in a question, as
// an owner knows no other one.
func shardName(tenant string) string { return tenant[:min(len(tenant), maxNameBytes)] }

// question asks the owner of a shard for units, returns one, or cancels an earlier question.
type question struct {
	op    byte
	shard byte
	units byte
	// id distinguishes the questions, as a datagram may arrive twice. That of a cancelling question
	// is the id of the acquiring one.
	id uint64
	// limit is that of the asking entry's configuration.
	limit  Limit
	tenant string
	// from is the claiming member of a claim, and part the part of the rate that it grants.
	from string
	part float64
}

const questionHeaderBytes = 3 + 8 + 8 + 8

func (q *question) encode() []byte {
	out := make([]byte, 0, questionHeaderBytes+len(q.tenant))
	out = append(out, q.op, q.shard, q.units)
	out = binary.LittleEndian.AppendUint64(out, q.id)
	out = appendFloat(out, q.limit.PerSecond)
	out = appendFloat(out, q.limit.Burst)
	if q.op == opClaim {
		out = appendFloat(out, q.part)
		from := q.from[:min(len(q.from), math.MaxUint8)]
		out = append(out, byte(len(from)))
		out = append(out, from...)
	}
	return append(out, shardName(q.tenant)...)
}

func decodeQuestion(data []byte) (question, bool) {
	if len(data) < questionHeaderBytes {
		return question{}, false
	}
	q := question{
		op: data[0], shard: data[1], units: data[2], id: binary.LittleEndian.Uint64(data[3:]),
		limit: Limit{PerSecond: floatAt(data[11:]), Burst: floatAt(data[19:])},
	}
	rest := data[questionHeaderBytes:]
	if q.op == opClaim {
		if len(rest) < 9 || len(rest) < 9+int(rest[8]) {
			return question{}, false
		}
		q.part, q.from = floatAt(rest), string(rest[9:9+int(rest[8])])
		rest = rest[9+len(q.from):]
		if !(q.part > 0 && q.part <= 1) {
			return question{}, false
		}
	}
	q.tenant = string(rest)
	valid := q.shard < shardCount && q.limit.PerSecond >= 0 && !math.IsInf(q.limit.PerSecond, 0) &&
		q.limit.Burst >= 0 && !math.IsInf(q.limit.Burst, 0)
	return q, valid
}

// answer is the reply to an acquiring question.
type answer struct {
	status  status
	granted byte
	// wait is the time until it is worth while to ask again: until the asking entry's turn for
	// a unit, or until the owner grants.
	wait time.Duration
	// used is the number of units granted recently, decayed with useWindow.
	used float64
}

const answerBytes = 2 + 4 + 8

func (a *answer) encode() []byte {
	out := make([]byte, 0, answerBytes)
	out = append(out, byte(a.status), a.granted)
	out = binary.LittleEndian.AppendUint32(out, uint32(a.wait/time.Microsecond))
	return appendFloat(out, a.used)
}

func decodeAnswer(data []byte) (answer, bool) {
	if len(data) < answerBytes {
		return answer{}, false
	}
	a := answer{
		status: status(data[0]), granted: data[1],
		wait: time.Duration(binary.LittleEndian.Uint32(data[2:])) * time.Microsecond, used: floatAt(data[6:]),
	}
	return a, a.status >= statusDecided && a.status <= statusNotOwner && a.used >= 0 && !math.IsInf(a.used, 0)
}

func appendFloat(out []byte, f float64) []byte {
	return binary.LittleEndian.AppendUint64(out, math.Float64bits(f))
}

func floatAt(data []byte) float64 { return math.Float64frombits(binary.LittleEndian.Uint64(data)) }
