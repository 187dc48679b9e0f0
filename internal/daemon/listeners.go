package daemon

import (
	"net"

	"chestnutrouter.example/chestnutrouter/internal/account"
	"chestnutrouter.example/chestnutrouter/internal/settings"
)

// listeners are the listeners for callers, for other entries and for the status page.
type listeners struct {
	caller, peer, status net.Listener
}

// newListeners opens all three listeners, or none if one of them fails.
func newListeners(s *settings.Settings, accounts *account.Account, limits account.Limits) (*listeners, error) {
	l := &listeners{}
	for _, side := range []struct {
		name, address  string
		maxConnections int
		listener       *net.Listener
	}{
		// The callers' listener serves the endpoint list, too.
		{"callers", s.CallerAddress, limits.Callers + limits.Directory, &l.caller},
		{"peers", s.PeerAddress, limits.Peers, &l.peer},
		{"status", s.StatusAddress, 2 * limits.Operators, &l.status},
	} {
		bound, err := accounts.Listen(side.name, side.address, side.maxConnections)
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
