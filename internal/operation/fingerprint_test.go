package operation

import (
	"errors"
	"net/http/httptest"
	"strings"
	"testing"
	"testing/iotest"
)

// A request that was read in pieces is recognized as the same, and a body that can't be read is not
// taken for an empty one.
func TestFingerprintOfAReadBody(t *testing.T) {
	r := httptest.NewRequest("POST", "http://shop.example/orders?kit=7", nil)
	for _, body := range []string{"", "kit", strings.Repeat("kit", 100_000)} {
		got, err := ReadFingerprint(r, iotest.HalfReader(strings.NewReader(body)))
		if err != nil || got != NewFingerprint(r, []byte(body)) {
			t.Errorf("body of %d bytes: got another fingerprint, error %v", len(body), err)
		}
	}
	failed := errors.New("the file is gone")
	if _, err := ReadFingerprint(r, iotest.ErrReader(failed)); !errors.Is(err, failed) {
		t.Errorf("got error %v, want %v", err, failed)
	}
}
