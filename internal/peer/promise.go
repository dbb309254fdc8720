package peer

import (
	"context"
	"syscall"

	"github.com/pkg/errors"

	"peridotmoor.org/peridotmoor/internal/authority"
	"peridotmoor.org/peridotmoor/internal/peer/peerpb"
)

// Promise implements authority.WitnessClient.
func (c *Client) Promise(ctx context.Context, _ authority.Instance, address string, r authority.PromiseRequest) (authority.PromiseReply, error) {
	out := promiseRequestToWire(r)
	countSent(c.meter, messagePromise, out)
	var in *peerpb.PromiseReply
	err := c.unary(ctx, address, func(p peerpb.DRPCPeerClient) (err error) {
		in, err = p.Promise(ctx, out)
		return err
	})
	if errors.Is(err, syscall.ECONNREFUSED) {
		return authority.PromiseReply{}, errors.Wrap(authority.ErrConnectionRefused, err.Error())
	}
	if err != nil {
		return authority.PromiseReply{}, err
	}
	countReceived(c.meter, messagePromise, in)
	return promiseReplyFromWire(in)
}

// Promise handles the promise request of a candidate or holder to this instance as a
// witness.
func (s *Server) Promise(ctx context.Context, in *peerpb.PromiseRequest) (*peerpb.PromiseReply, error) {
	countReceived(s.meter, messagePromise, in)
	r, err := promiseRequestFromWire(in)
	if err != nil {
		return nil, err
	}
	reply, err := s.handlers.Witness.HandlePromise(ctx, r)
	if err != nil {
		return nil, err
	}
	out := promiseReplyToWire(reply)
	countSent(s.meter, messagePromise, out)
	return out, nil
}
