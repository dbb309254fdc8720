package servers

import (
	"context"
	"net"
	"net/http"
	"sync/atomic"

	"github.com/google/uuid"
	"github.com/pkg/errors"
)

// life is one incarnation of a server, from its start to its crash.
type life struct {
	incarnation string
	ctx         context.Context
	end         context.CancelFunc
	listener    *listener
	http        *http.Server
	done        chan struct{}
	cold        *coldStart
	running     atomic.Int64
}

// newLife listens on address and serves requests with handle.
func newLife(c Config, address string, handle func(*life) http.Handler) (*life, error) {
	inner, err := net.Listen("tcp", address)
	if err != nil {
		return nil, errors.Wrapf(err, "server %s cannot listen on %s", c.Name, address)
	}
	ctx, cancel := context.WithCancel(context.Background())
	l := &life{
		incarnation: uuid.NewString(),
		ctx:         ctx,
		end:         cancel,
		listener:    newListener(inner, c.MaxConnections),
		done:        make(chan struct{}),
		cold:        &coldStart{config: c.ColdStart},
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
func (l *life) stop() {
	l.end()
	l.listener.resetAll()
	_ = l.http.Close()
	<-l.done
}
