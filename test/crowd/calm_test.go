package crowd

import (
	"fmt"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"chestnutrouter.example/chestnutrouter/internal/proctest"
)

// TestSingleRequestInsideTheLimitsIsServed guards against limits that a single caller inside the limits
// of the configuration meets in calm: a body of 64 MiB, and a header of 16,384 bytes of the shortest fields.
func TestSingleRequestInsideTheLimitsIsServed(t *testing.T) {
	for _, vm := range []struct{ memoryMB, descriptors int64 }{{136, 2870}, {284, 4100}} {
		s := startGateway(t, vm.memoryMB, vm.descriptors)
		front := s.places[0].address
		client := http.Client{Timeout: 30 * time.Second}
		r, err := http.NewRequest(http.MethodPut, "http://"+front+"/scans/calm", strings.NewReader(strings.Repeat("x", 64*mb)))
		if err != nil {
			t.Fatal(err)
		}
		r.Host = gatewayHost
		r.Header.Set("X-Request-Id", "calm")
		response, err := client.Do(r)
		if err != nil || response.StatusCode != http.StatusOK {
			t.Fatalf("upload of 64 MiB on a VM of %d MB: got %v, error %v, want status 200; log:\n%s", vm.memoryMB, response, err, s.logEnd())
		}
		response.Body.Close()
		memory, err := proctest.PeakMemory(s.pid)
		if err != nil || memory > vm.memoryMB<<20 {
			t.Errorf("%d MB of memory (error %v), want at most %d", memory>>20, err, vm.memoryMB)
		}
		if got, err := sendFields(s.places[0], 16384-200); err != nil || !strings.Contains(got, "200 OK") {
			t.Errorf("request with short fields on a VM of %d MB: got %q, error %v, want status 200", vm.memoryMB, got, err)
		}
	}
}

// sendFields sends a request with about that many bytes of short fields and returns the start of the response.
func sendFields(p place, size int) (string, error) {
	conn, err := net.DialTimeout("tcp", p.address, dialTimeout)
	if err != nil {
		return "", err
	}
	defer conn.Close()
	if err := conn.SetDeadline(time.Now().Add(startTimeout)); err != nil {
		return "", err
	}
	if _, err := fmt.Fprint(conn, p.head("GET"), shortFields(size), "\r\n"); err != nil {
		return "", err
	}
	buf := make([]byte, 100)
	n, err := conn.Read(buf)
	return string(buf[:n]), err
}
