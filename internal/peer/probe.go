package peer

import (
	"context"

	"peridotmoor.org/peridotmoor/internal/authority"
)

// Probe implements authority.Prober. It sends a promise request without claims, to
// which any incarnation replies with its identity.
func (c *Client) Probe(ctx context.Context, address string) (authority.Instance, error) {
	reply, err := c.Promise(ctx, authority.Instance{}, address, authority.PromiseRequest{})
	if err != nil {
		return authority.Instance{}, err
	}
	return reply.Witness, nil
}
