package peer

import (
	"context"

	"storj.io/drpc/drpcconn"

	"peridotmoor.org/peridotmoor/internal/peer/peerpb"
)

// Client sends calls to other instances by address.
type Client struct {
	pool  *Pool
	meter Meter
}

// NewClient returns a client that uses the connections of pool and counts its
// control messages in meter.
func NewClient(pool *Pool, meter Meter) *Client {
	return &Client{pool: pool, meter: meter}
}

// unary runs a call with one request and one reply message.
func (c *Client) unary(ctx context.Context, address string, call func(peerpb.DRPCPeerClient) error) error {
	conn, err := c.pool.Take(ctx, address)
	if err != nil {
		return err
	}
	defer c.pool.Put(address, conn)
	return call(peerpb.NewDRPCPeerClient(conn))
}

// discard closes the connection of a call that did not end regularly.
func discard(conn *drpcconn.Conn) {
	_ = conn.Close()
}
