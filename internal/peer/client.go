package peer

import (
	"context"

	"storj.io/drpc/drpcconn"

	"peridotmoor.org/peridotmoor/internal/peer/peerpb"
)

// Client calls other instances by address.
type Client struct {
	pool  *Pool
	meter Meter
}

// NewClient returns a client that takes its connections from pool and counts
// control messages on meter.
func NewClient(pool *Pool, meter Meter) *Client {
	return &Client{pool: pool, meter: meter}
}

// unary runs one call that has one message each way.
func (c *Client) unary(ctx context.Context, address string, call func(peerpb.DRPCPeerClient) error) error {
	conn, err := c.pool.Take(ctx, address)
	if err != nil {
		return err
	}
	defer c.pool.Put(address, conn)
	return call(peerpb.NewDRPCPeerClient(conn))
}

// giveUp closes the connection of a call that did not end cleanly.
func giveUp(conn *drpcconn.Conn) {
	_ = conn.Close()
}
