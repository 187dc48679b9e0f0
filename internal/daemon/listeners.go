package daemon

import (
	"net"

	"chestnutrouter.example/chestnutrouter/internal/settings"
)

// listeners are the listeners for callers, for other entries and for the status page.
type listeners struct {
	caller, peer, status net.Listener
}

// newListeners opens all three listeners, or none if one of them fails.
func newListeners(s *settings.Settings) (*listeners, error) {
	l := &listeners{}
	for _, side := range []struct {
		address  string
		listener *net.Listener
	}{
		{s.CallerAddress, &l.caller},
		{s.PeerAddress, &l.peer},
		{s.StatusAddress, &l.status},
	} {
		bound, err := net.Listen("tcp", side.address)
		if err != nil {
			l.close()
			return nil, err
		}
		*side.listener = bound
	}
	return l, nil
}

// close closes the listeners that no server has closed.
func (l *listeners) close() {
	for _, side := range []net.Listener{l.caller, l.peer, l.status} {
		if side != nil {
			// Closing a listener twice only returns an error.
			_ = side.Close()
		}
	}
}
