package peer

import (
	"time"

	"github.com/pkg/errors"

	"peridotmoor.org/peridotmoor/internal/authority"
	"peridotmoor.org/peridotmoor/internal/key"
	"peridotmoor.org/peridotmoor/internal/peer/peerpb"
)

func promiseRequestToWire(r authority.PromiseRequest) *peerpb.PromiseRequest {
	wire := &peerpb.PromiseRequest{Candidate: instanceToWire(r.Candidate), To: instanceToWire(r.To)}
	for _, c := range r.Claims {
		wire.Claims = append(wire.Claims, &peerpb.ShardClaim{
			Shard:            c.Shard.String(),
			Token:            tokenToWire(c.Token),
			Mirrors:          instancesToWire(c.Mirrors.Members),
			MirrorGeneration: c.Mirrors.Generation,
			Release:          c.Release,
			Config:           configToWire(c.Config),
		})
	}
	return wire
}

func promiseRequestFromWire(wire *peerpb.PromiseRequest) (authority.PromiseRequest, error) {
	r := authority.PromiseRequest{Candidate: instanceFromWire(wire.Candidate), To: instanceFromWire(wire.To)}
	for _, c := range wire.Claims {
		shard, err := key.ParseShardID(c.Shard)
		if err != nil {
			return r, errors.Wrap(err, "decode promise request")
		}
		r.Claims = append(r.Claims, authority.ShardClaim{
			Shard:   shard,
			Token:   tokenFromWire(c.Token),
			Mirrors: authority.MirrorSet{Generation: c.MirrorGeneration, Members: instancesFromWire(c.Mirrors)},
			Release: c.Release,
			Config:  configFromWire(c.Config),
		})
	}
	return r, nil
}

func promiseReplyToWire(r authority.PromiseReply) *peerpb.PromiseReply {
	wire := &peerpb.PromiseReply{Witness: instanceToWire(r.Witness)}
	for _, c := range r.Replies {
		wire.Replies = append(wire.Replies, &peerpb.ClaimReply{
			Shard:            c.Shard.String(),
			Promised:         c.Promised,
			Highest:          tokenToWire(c.Highest),
			RemainingMs:      ceilMillis(c.Remaining),
			Holder:           instanceToWire(c.Holder),
			Mirrors:          instancesToWire(c.Mirrors.Members),
			MirrorGeneration: c.Mirrors.Generation,
		})
	}
	return wire
}

func promiseReplyFromWire(wire *peerpb.PromiseReply) (authority.PromiseReply, error) {
	r := authority.PromiseReply{Witness: instanceFromWire(wire.Witness)}
	for _, c := range wire.Replies {
		shard, err := key.ParseShardID(c.Shard)
		if err != nil {
			return r, errors.Wrap(err, "decode promise reply")
		}
		r.Replies = append(r.Replies, authority.ClaimReply{
			Shard:     shard,
			Promised:  c.Promised,
			Highest:   tokenFromWire(c.Highest),
			Remaining: time.Duration(c.RemainingMs) * time.Millisecond,
			Holder:    instanceFromWire(c.Holder),
			Mirrors:   authority.MirrorSet{Generation: c.MirrorGeneration, Members: instancesFromWire(c.Mirrors)},
		})
	}
	return r, nil
}

// ceilMillis rounds up, so that no one waits for less than the full duration.
func ceilMillis(d time.Duration) int64 {
	return int64((d + time.Millisecond - 1) / time.Millisecond)
}
