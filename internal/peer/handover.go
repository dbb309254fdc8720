package peer

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"peridotmoor.org/peridotmoor/internal/authority"
	"peridotmoor.org/peridotmoor/internal/key"
	"peridotmoor.org/peridotmoor/internal/peer/peerpb"
)

// HandOver asks the receiver to become the next holder of a shard, or reports to the next
// holder which slots requests of the sender still occupy.
type HandOver struct {
	Shard key.ShardID
	Token authority.Token
	From  authority.Instance
	To    authority.Instance
	// Busy lists the servers that are warm or run requests of the sender.
	Busy []BusyServer
	// Sequence orders the reports of one sender about a shard; the highest one applies.
	Sequence uint64
}

// ErrHandOverRefused means that the receiver does not take the shard over.
var ErrHandOverRefused = errors.New("peer: the instance does not take the shard over; ask another witness or release the shard without one")

// HandOver sends h to the instance at address, which takes the shard over once it is
// released.
func (c *Client) HandOver(ctx context.Context, address string, h HandOver) error {
	out := &peerpb.HandOverRequest{
		Shard: h.Shard.String(),
		Token: tokenToWire(h.Token),
		From:  instanceToWire(h.From),
		To:    instanceToWire(h.To),

		Sequence: h.Sequence,
	}
	for _, b := range h.Busy {
		out.Busy = append(out.Busy, &peerpb.BusyServer{Server: b.Server, Slots: int32(b.Slots), RemainingMs: ceilMillis(b.Remaining), Warm: b.Warm})
	}
	countSent(c.meter, messageHandOver, out)
	var in *peerpb.HandOverReply
	err := c.unary(ctx, address, func(p peerpb.DRPCPeerClient) (err error) {
		in, err = p.HandOver(ctx, out)
		return err
	})
	if err != nil {
		return err
	}
	countReceived(c.meter, messageHandOver, in)
	if !in.Accepted {
		return errors.Wrap(ErrHandOverRefused, in.Reason)
	}
	return nil
}

// HandOver handles a hand-over request or report of the sender to this instance.
func (s *Server) HandOver(ctx context.Context, in *peerpb.HandOverRequest) (*peerpb.HandOverReply, error) {
	countReceived(s.meter, messageHandOver, in)
	shard, err := key.ParseShardID(in.Shard)
	if err != nil {
		return nil, err
	}
	h := HandOver{Shard: shard, Token: tokenFromWire(in.Token), From: instanceFromWire(in.From), To: instanceFromWire(in.To), Sequence: in.Sequence}
	for _, b := range in.Busy {
		h.Busy = append(h.Busy, BusyServer{Server: b.Server, Slots: int(b.Slots), Remaining: time.Duration(b.RemainingMs) * time.Millisecond, Warm: b.Warm})
	}
	out := &peerpb.HandOverReply{Accepted: true}
	if err := s.handlers.HandOver.HandleHandOver(ctx, h); err != nil {
		out = &peerpb.HandOverReply{Reason: err.Error()}
	}
	countSent(s.meter, messageHandOver, out)
	return out, nil
}
