package peer

import (
	"context"

	"peridotmoor.org/peridotmoor/internal/peer/peerpb"
	"peridotmoor.org/peridotmoor/internal/publish/exchange"
)

// Exchange starts an exchange with the instance at address.
func (c *Client) Exchange(ctx context.Context, address string, r exchange.Request) (exchange.Reply, error) {
	out := exchangeRequestToWire(r)
	countSent(c.meter, messageExchange, out)
	var in *peerpb.ExchangeReply
	err := c.unary(ctx, address, func(p peerpb.DRPCPeerClient) (err error) {
		in, err = p.Exchange(ctx, out)
		return err
	})
	if err != nil {
		return exchange.Reply{}, err
	}
	countReceived(c.meter, messageExchange, in)
	return exchangeReplyFromWire(in)
}

// Exchange handles an exchange that another instance started.
func (s *Server) Exchange(ctx context.Context, in *peerpb.ExchangeRequest) (*peerpb.ExchangeReply, error) {
	countReceived(s.meter, messageExchange, in)
	r, err := exchangeRequestFromWire(in)
	if err != nil {
		return nil, err
	}
	reply, err := s.handlers.Exchange.Exchange(ctx, r)
	if err != nil {
		return nil, err
	}
	out := exchangeReplyToWire(reply)
	countSent(s.meter, messageExchange, out)
	return out, nil
}
