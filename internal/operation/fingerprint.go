package operation

import (
	"crypto/sha256"
	"encoding/binary"
	"hash"
	"io"
	"net/http"
	"strconv"
)

// Fingerprint identifies a request's content. Two requests with the same
// operation id and different fingerprints are a caller error.
type Fingerprint [16]byte

// NewFingerprint returns the fingerprint of the method, host, path, query and
// complete body.
func NewFingerprint(r *http.Request, body []byte) Fingerprint {
	bodyHash := sha256.Sum256(body)
	return fingerprintOf(r, bodyHash[:])
}

// ReadFingerprint is NewFingerprint for a body that it reads to its end, without a copy of it. It
// returns the error of body.
func ReadFingerprint(r *http.Request, body io.Reader) (Fingerprint, error) {
	bodyHash := sha256.New()
	if _, err := io.Copy(bodyHash, body); err != nil {
		return Fingerprint{}, err
	}
	return fingerprintOf(r, bodyHash.Sum(nil)), nil
}

func fingerprintOf(r *http.Request, bodyHash []byte) Fingerprint {
	h := sha256.New()
	writeTarget(h, r)
	h.Write(bodyHash)
	return truncate(h)
}

// NewStreamFingerprint returns the fingerprint of the method, host, path, query,
// content type and content length. A streamed body is not covered, as it is not
// available before the run. A retry with another body of the same length gets
// the response to the first request.
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

// writeField writes the length before the field, so that different lists of
// fields never produce the same input.
func writeField(h hash.Hash, field string) {
	var length [8]byte
	binary.BigEndian.PutUint64(length[:], uint64(len(field)))
	h.Write(length[:])
	h.Write([]byte(field))
}

// Scoped binds the fingerprint to a caller, so that no other caller's request
// matches it.
func (f Fingerprint) Scoped(caller string) Fingerprint {
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
