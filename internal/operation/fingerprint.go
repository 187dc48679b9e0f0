package operation

import (
	"crypto/sha256"
	"encoding/binary"
	"hash"
	"net/http"
	"strconv"
)

// Fingerprint identifies a request's content: two requests with one operation id
// and different fingerprints are a mistake of the caller's.
type Fingerprint [16]byte

// NewFingerprint covers method, host, path, query and the whole body.
func NewFingerprint(r *http.Request, body []byte) Fingerprint {
	h := sha256.New()
	writeTarget(h, r)
	sum := sha256.Sum256(body)
	h.Write(sum[:])
	return truncate(h)
}

// NewStreamFingerprint covers method, host, path, query, content type and
// length. A streamed body is not covered, as it is not there before the run; a
// repeat with another body of the same length gets the answer to the first.
func NewStreamFingerprint(r *http.Request) Fingerprint {
	h := sha256.New()
	writeTarget(h, r)
	writeField(h, r.Header.Get("Content-Type"))
	writeField(h, strconv.FormatInt(r.ContentLength, 10))
	return truncate(h)
}

func writeTarget(h hash.Hash, r *http.Request) {
	writeField(h, r.Method)
	writeField(h, r.Host)
	writeField(h, r.URL.EscapedPath())
	writeField(h, r.URL.RawQuery)
}

// writeField writes the length first, so that no two lists of fields look alike.
func writeField(h hash.Hash, field string) {
	var length [8]byte
	binary.BigEndian.PutUint64(length[:], uint64(len(field)))
	h.Write(length[:])
	h.Write([]byte(field))
}

// scoped binds the fingerprint to a caller, so that no other caller's repeat matches.
func (f Fingerprint) scoped(caller string) Fingerprint {
	h := sha256.New()
	writeField(h, caller)
	h.Write(f[:])
	return truncate(h)
}

func truncate(h hash.Hash) Fingerprint {
	var f Fingerprint
	copy(f[:], h.Sum(nil))
	return f
}
