package peer

import (
	"context"
	"net"
	"time"

	"storj.io/drpc/drpcconn"
	"storj.io/drpc/drpcmanager"
	"storj.io/drpc/drpcpool"
	"storj.io/drpc/drpcwire"
)

// Limits of the connections between instances.
const (
	dialTimeout         = 500 * time.Millisecond
	idleConnExpiry      = time.Minute
	maxIdleConnsPerPeer = 64
	maxIdleConns        = 2048
	maxMessageBytes     = 4 << 20
	streamedChunkBytes  = 32 << 10
)

// Pool keeps idle DRPC connections by address. A connection carries one call at a
// time, and an abandoned call closes its connection, so a late response can never be
// taken for the response to another call.
type Pool struct {
	idle *drpcpool.Pool[string, *drpcconn.Conn]
}

// NewPool returns an empty pool.
func NewPool() *Pool {
	return &Pool{idle: drpcpool.New[string, *drpcconn.Conn](drpcpool.Options{
		Expiration:  idleConnExpiry,
		Capacity:    maxIdleConns,
		KeyCapacity: maxIdleConnsPerPeer,
	})}
}

// Take returns an idle connection to address or opens a new one. An error means
// that no byte was sent.
func (p *Pool) Take(ctx context.Context, address string) (*drpcconn.Conn, error) {
	if conn, ok := p.idle.Take(address); ok {
		return conn, nil
	}
	dialer := net.Dialer{Timeout: dialTimeout}
	conn, err := dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, err
	}
	return drpcconn.NewWithOptions(conn, drpcconn.Options{Manager: managerOptions()}), nil
}

// Put returns the connection of an ended call to the pool. A closed one is discarded.
func (p *Pool) Put(address string, conn *drpcconn.Conn) {
	p.idle.Put(address, conn)
}

// Close closes all idle connections.
func (p *Pool) Close() error {
	return p.idle.Close()
}

func managerOptions() drpcmanager.Options {
	return drpcmanager.Options{
		Reader: drpcwire.ReaderOptions{MaximumBufferSize: maxMessageBytes},
	}
}
