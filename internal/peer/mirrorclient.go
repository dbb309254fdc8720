package peer

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"peridotmoor.org/peridotmoor/internal/authority"
	"peridotmoor.org/peridotmoor/internal/key"
	"peridotmoor.org/peridotmoor/internal/peer/peerpb"
	"peridotmoor.org/peridotmoor/internal/record"
)

// MirrorClient implements record.MirrorClient over the client.
type MirrorClient struct {
	client    *Client
	addresses AddressResolver
}

// NewMirrorClient returns a copier that finds mirrors through addresses.
func NewMirrorClient(client *Client, addresses AddressResolver) *MirrorClient {
	return &MirrorClient{client: client, addresses: addresses}
}

// Copy implements record.Copier.
func (c *MirrorClient) Copy(ctx context.Context, to authority.Instance, r record.CopyRequest) (record.CopyReply, error) {
	address, err := c.address(to)
	if err != nil {
		return record.CopyReply{}, err
	}
	out := &peerpb.CopyRecordsRequest{
		Shard:           r.Shard.String(),
		Token:           tokenToWire(r.Token),
		Holder:          instanceToWire(r.Holder),
		Records:         recordsToWire(r.Records),
		To:              instanceToWire(r.To),
		CompleteSinceMs: ceilUnixMillis(r.CompleteSince),
	}
	sent(c.client.meter, messageCopy, out)
	var in *peerpb.CopyRecordsReply
	err = c.client.unary(ctx, address, func(p peerpb.DRPCPeerClient) (err error) {
		in, err = p.CopyRecords(ctx, out)
		return err
	})
	if err != nil {
		return record.CopyReply{}, errors.Wrapf(err, "copy records to %s", to)
	}
	received(c.client.meter, messageCopy, in)
	return record.CopyReply{Accepted: in.Accepted, Highest: tokenFromWire(in.Highest)}, nil
}

// Fetch implements record.Copier.
func (c *MirrorClient) Fetch(ctx context.Context, to authority.Instance, f record.FetchRequest) ([]record.Record, time.Time, error) {
	address, err := c.address(to)
	if err != nil {
		return nil, time.Time{}, err
	}
	conn, err := c.client.pool.Take(ctx, address)
	if err != nil {
		return nil, time.Time{}, errors.Wrapf(err, "fetch records from %s", to)
	}
	// The stream is read to its end or the connection is given up, never reused half-read.
	defer giveUp(conn)
	out := &peerpb.FetchRecordsRequest{Shard: f.Shard.String(), Token: tokenToWire(f.Token), To: instanceToWire(f.To)}
	sent(c.client.meter, messageFetch, out)
	stream, err := peerpb.NewDRPCPeerClient(conn).FetchRecords(ctx, out)
	if err != nil {
		return nil, time.Time{}, errors.Wrapf(err, "fetch records from %s", to)
	}
	return c.readRecords(stream, to)
}

// readRecords needs the frame marked last: records that are cut off would be
// taken for a complete copy.
func (c *MirrorClient) readRecords(stream peerpb.DRPCPeer_FetchRecordsClient, from authority.Instance) ([]record.Record, time.Time, error) {
	var records []record.Record
	for {
		frame, err := stream.Recv()
		if err != nil {
			return nil, time.Time{}, errors.Wrapf(err, "the records of %s broke off", from)
		}
		received(c.client.meter, messageFetch, frame)
		if frame.Refused {
			return nil, time.Time{}, record.ErrNoCopy
		}
		records = append(records, recordsFromWire(frame.Records)...)
		if frame.Last {
			return records, time.UnixMilli(frame.CompleteSinceMs), nil
		}
	}
}

func (c *MirrorClient) address(to authority.Instance) (string, error) {
	address, known := c.addresses.Address(to)
	if !known {
		return "", errors.Errorf("no address is known for the mirror %s", to)
	}
	return address, nil
}

// CopyRecords serves a holder that writes to this instance as a mirror.
func (s *Server) CopyRecords(_ context.Context, in *peerpb.CopyRecordsRequest) (*peerpb.CopyRecordsReply, error) {
	received(s.meter, messageCopy, in)
	shard, err := key.ParseShardID(in.Shard)
	if err != nil {
		return nil, err
	}
	reply := s.handlers.Mirror.Copy(record.CopyRequest{
		Shard:         shard,
		Token:         tokenFromWire(in.Token),
		Holder:        instanceFromWire(in.Holder),
		To:            instanceFromWire(in.To),
		Records:       recordsFromWire(in.Records),
		CompleteSince: time.UnixMilli(in.CompleteSinceMs),
	})
	out := &peerpb.CopyRecordsReply{Accepted: reply.Accepted, Highest: tokenToWire(reply.Highest)}
	sent(s.meter, messageCopy, out)
	return out, nil
}
