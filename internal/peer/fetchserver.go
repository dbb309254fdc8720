package peer

import (
	"time"

	"peridotmoor.org/peridotmoor/internal/key"
	"peridotmoor.org/peridotmoor/internal/peer/peerpb"
	"peridotmoor.org/peridotmoor/internal/record"
)

// recordsPerFrame keeps a frame below maxMessageBytes: a record with a recorded
// response of the maximum size takes about 17 KB.
const recordsPerFrame = 128

// FetchRecords sends this instance's copies of request records to a new holder.
func (s *Server) FetchRecords(in *peerpb.FetchRecordsRequest, stream peerpb.DRPCPeer_FetchRecordsStream) error {
	countReceived(s.meter, messageFetch, in)
	shard, err := key.ParseShardID(in.Shard)
	if err != nil {
		return err
	}
	records, since, err := s.handlers.Mirror.Fetch(record.FetchRequest{
		Shard: shard,
		Token: tokenFromWire(in.Token),
		To:    instanceFromWire(in.To),
	})
	if err != nil {
		return s.sendFrame(stream, &peerpb.FetchRecordsReply{Refused: true, Last: true})
	}
	return s.sendRecords(stream, records, since)
}

func (s *Server) sendRecords(stream peerpb.DRPCPeer_FetchRecordsStream, records []record.Record, since time.Time) error {
	for {
		n := min(len(records), recordsPerFrame)
		frame := &peerpb.FetchRecordsReply{
			Records:         recordsToWire(records[:n]),
			CompleteSinceMs: ceilUnixMillis(since),
			Last:            n == len(records),
		}
		if err := s.sendFrame(stream, frame); err != nil || frame.Last {
			return err
		}
		records = records[n:]
	}
}

func (s *Server) sendFrame(stream peerpb.DRPCPeer_FetchRecordsStream, frame *peerpb.FetchRecordsReply) error {
	countSent(s.meter, messageFetch, frame)
	return stream.Send(frame)
}
