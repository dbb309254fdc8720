package servers

import (
	"context"
	"net"
	"net/http"
	"sync/atomic"

	"github.com/google/uuid"
	"github.com/pkg/errors"
)

// incarnation is one incarnation of a server, from its start to its crash.
type incarnation struct {
	id       string
	ctx      context.Context
	cancel   context.CancelFunc
	listener *listener
	http     *http.Server
	done     chan struct{}
	cold     *coldStart
	running  atomic.Int64
}

// startIncarnation listens on address and serves requests with handle.
func startIncarnation(c Config, address string, handle func(*incarnation) http.Handler) (*incarnation, error) {
	inner, err := net.Listen("tcp", address)
	if err != nil {
		return nil, errors.Wrapf(err, "server %s cannot listen on %s", c.Name, address)
	}
	ctx, cancel := context.WithCancel(context.Background())
	l := &incarnation{
		id:       uuid.NewString(),
		ctx:      ctx,
		cancel:   cancel,
		listener: newListener(inner, c.MaxConnections),
		done:     make(chan struct{}),
		cold:     &coldStart{config: c.ColdStart},
	}
	l.http = &http.Server{Handler: handle(l)}
	go func() {
		defer close(l.done)
		_ = l.http.Serve(l.listener)
	}()
	return l, nil
}

// stop ends the incarnation as the end of its process does: connections are
// reset and runs are cut off.
func (l *incarnation) stop() {
	l.cancel()
	l.listener.resetAll()
	_ = l.http.Close()
	<-l.done
}
