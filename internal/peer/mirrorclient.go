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

// NewMirrorClient returns a client that looks up the addresses of mirrors in addresses.
func NewMirrorClient(client *Client, addresses AddressResolver) *MirrorClient {
	return &MirrorClient{client: client, addresses: addresses}
}

// Copy implements record.MirrorClient.
func (m *MirrorClient) Copy(ctx context.Context, to authority.Instance, r record.CopyRequest) (record.CopyReply, error) {
	address, err := m.address(to)
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
	countSent(m.client.meter, messageCopy, out)
	var in *peerpb.CopyRecordsReply
	err = m.client.unary(ctx, address, func(p peerpb.DRPCPeerClient) (err error) {
		in, err = p.CopyRecords(ctx, out)
		return err
	})
	if err != nil {
		return record.CopyReply{}, errors.Wrapf(err, "copy records to %s", to)
	}
	countReceived(m.client.meter, messageCopy, in)
	return record.CopyReply{Accepted: in.Accepted, Highest: tokenFromWire(in.Highest)}, nil
}

// Fetch implements record.MirrorClient.
func (m *MirrorClient) Fetch(ctx context.Context, to authority.Instance, f record.FetchRequest) ([]record.Record, time.Time, error) {
	address, err := m.address(to)
	if err != nil {
		return nil, time.Time{}, err
	}
	conn, err := m.client.pool.Take(ctx, address)
	if err != nil {
		return nil, time.Time{}, errors.Wrapf(err, "fetch records from %s", to)
	}
	// The connection is not returned to the pool: the stream may not have been read
	// to its end.
	defer discard(conn)
	out := &peerpb.FetchRecordsRequest{Shard: f.Shard.String(), Token: tokenToWire(f.Token), To: instanceToWire(f.To)}
	countSent(m.client.meter, messageFetch, out)
	stream, err := peerpb.NewDRPCPeerClient(conn).FetchRecords(ctx, out)
	if err != nil {
		return nil, time.Time{}, errors.Wrapf(err, "fetch records from %s", to)
	}
	return m.readRecords(stream, to)
}

// readRecords fails if the frame marked as last is missing, because a truncated list
// would be taken for a complete copy.
func (m *MirrorClient) readRecords(stream peerpb.DRPCPeer_FetchRecordsClient, from authority.Instance) ([]record.Record, time.Time, error) {
	var records []record.Record
	for {
		frame, err := stream.Recv()
		if err != nil {
			return nil, time.Time{}, errors.Wrapf(err, "records of %s truncated", from)
		}
		countReceived(m.client.meter, messageFetch, frame)
		if frame.Refused {
			return nil, time.Time{}, record.ErrNoCopy
		}
		records = append(records, recordsFromWire(frame.Records)...)
		if frame.Last {
			return records, time.UnixMilli(frame.CompleteSinceMs), nil
		}
	}
}

func (m *MirrorClient) address(to authority.Instance) (string, error) {
	address, known := m.addresses.Address(to)
	if !known {
		return "", errors.Errorf("address of mirror %s is unknown", to)
	}
	return address, nil
}

// CopyRecords handles the writes of a holder that uses this instance as a mirror.
func (s *Server) CopyRecords(_ context.Context, in *peerpb.CopyRecordsRequest) (*peerpb.CopyRecordsReply, error) {
	countReceived(s.meter, messageCopy, in)
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
	countSent(s.meter, messageCopy, out)
	return out, nil
}
