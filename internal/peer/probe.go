package peer

import (
	"context"

	"peridotmoor.org/peridotmoor/internal/authority"
)

// Probe implements authority.Prober: a promise request without claims, which
// any incarnation answers with its name.
func (c *Client) Probe(ctx context.Context, address string) (authority.Instance, error) {
	reply, err := c.Promise(ctx, authority.Instance{}, address, authority.PromiseRequest{})
	if err != nil {
		return authority.Instance{}, err
	}
	return reply.Witness, nil
}
