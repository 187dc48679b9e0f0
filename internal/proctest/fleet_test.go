package proctest

import (
	"fmt"
	"net"
	"net/netip"
	"testing"
)

// TestAllocatedPortsStayFree guards against entries that end at once because another
// process or an outgoing connection has taken their port before they listen on it.
func TestAllocatedPortsStayFree(t *testing.T) {
	addresses, err := freeAddresses(3)
	if err != nil {
		t.Fatal(err)
	}
	for _, address := range addresses {
		// Anyone who asks for a free port of 127.0.0.1 may be given this one.
		port := netip.MustParseAddrPort(address).Port()
		other, err := net.Listen("tcp", fmt.Sprintf("127.0.0.1:%d", port))
		if err != nil {
			t.Fatal(err)
		}
		defer other.Close()
		entry, err := net.Listen("tcp", address)
		if err != nil {
			t.Errorf("the entry's port was taken: %v", err)
			continue
		}
		entry.Close()
	}
}
