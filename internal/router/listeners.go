package router

import (
	"net"

	"github.com/pkg/errors"

	"peridotmoor.org/peridotmoor/internal/nodeconfig"
)

// listeners are the three endpoints of an instance.
type listeners struct {
	callers   net.Listener
	peers     net.Listener
	operators net.Listener
}

// listen opens all endpoints, or none on an error.
func listen(config nodeconfig.Listen) (*listeners, error) {
	l := &listeners{}
	for _, endpoint := range []struct {
		name    string
		address string
		target  *net.Listener
	}{
		{"callers", config.Callers, &l.callers},
		{"peers", config.Peers, &l.peers},
		{"operators", config.Operators, &l.operators},
	} {
		listener, err := net.Listen("tcp", endpoint.address)
		if err != nil {
			l.close()
			return nil, errors.Wrapf(err, "open [listen] %s at %s; choose a free port or another address", endpoint.name, endpoint.address)
		}
		*endpoint.target = listener
	}
	return l, nil
}

// close closes all open endpoints.
func (l *listeners) close() {
	for _, listener := range []net.Listener{l.callers, l.peers, l.operators} {
		if listener != nil {
			_ = listener.Close()
		}
	}
}
