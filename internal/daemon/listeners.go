package daemon

import (
	"net"

	"chestnutrouter.example/chestnutrouter/internal/settings"
)

// listeners are the sockets of the entry's three sides.
type listeners struct {
	caller, peer, status net.Listener
}

// newListeners binds all three sides, or none.
func newListeners(s *settings.Settings) (*listeners, error) {
	l := &listeners{}
	for _, side := range []struct {
		address string
		into    *net.Listener
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
		*side.into = bound
	}
	return l, nil
}

// close closes the sockets that no server has closed.
func (l *listeners) close() {
	for _, side := range []net.Listener{l.caller, l.peer, l.status} {
		if side != nil {
			// Closing a socket twice only says so.
			_ = side.Close()
		}
	}
}
