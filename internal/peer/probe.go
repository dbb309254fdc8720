package peer

import (
	"context"
	"syscall"

	"github.com/pkg/errors"

	"peridotmoor.org/peridotmoor/internal/authority"
)

// Probe implements authority.Prober: a promise request without claims, which
// any incarnation answers with its name.
func (c *Client) Probe(ctx context.Context, address string) (authority.Instance, error) {
	reply, err := c.Promise(ctx, authority.Instance{}, address, authority.PromiseRequest{})
	if errors.Is(err, syscall.ECONNREFUSED) {
		return authority.Instance{}, errors.Wrap(authority.ErrRefused, err.Error())
	}
	if err != nil {
		return authority.Instance{}, err
	}
	return reply.Witness, nil
}
