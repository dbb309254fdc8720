package servers

import (
	"context"
	"net"
	"net/http"
	"sync/atomic"

	"github.com/google/uuid"
	"github.com/pkg/errors"
)

// incarnation is one run of a server's process, from its start to its crash.
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

// startIncarnation listens on address and serves requests with the handler that handle returns.
func startIncarnation(c Config, address string, handle func(*incarnation) http.Handler) (*incarnation, error) {
	inner, err := net.Listen("tcp", address)
	if err != nil {
		return nil, errors.Wrapf(err, "server %s cannot listen on %s", c.Name, address)
	}
	ctx, cancel := context.WithCancel(context.Background())
	i := &incarnation{
		id:       uuid.NewString(),
		ctx:      ctx,
		cancel:   cancel,
		listener: newListener(inner, c.MaxConnections),
		done:     make(chan struct{}),
		cold:     &coldStart{config: c.ColdStart},
	}
	i.http = &http.Server{Handler: handle(i)}
	go func() {
		defer close(i.done)
		_ = i.http.Serve(i.listener)
	}()
	return i, nil
}

// stop ends the incarnation like the end of a process: connections are reset and
// executions are aborted.
func (i *incarnation) stop() {
	i.cancel()
	i.listener.resetAll()
	_ = i.http.Close()
	<-i.done
}
