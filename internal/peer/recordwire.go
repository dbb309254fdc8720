package peer

import (
	"time"

	"peridotmoor.org/peridotmoor/internal/peer/peerpb"
	"peridotmoor.org/peridotmoor/internal/record"
)

func recordsToWire(records []record.Record) []*peerpb.Record {
	wire := make([]*peerpb.Record, 0, len(records))
	for _, r := range records {
		wire = append(wire, &peerpb.Record{
			Key:        r.Key,
			Id:         r.ID,
			Digest:     r.Digest,
			State:      int32(r.State),
			Execution:  r.Execution,
			Status:     int32(r.Status),
			Headers:    headersToWire(r.Header),
			Body:       r.Body,
			Server:     r.Server,
			Kind:       r.ProblemKind,
			Message:    r.ProblemMessage,
			AnswerKept: r.HasResponse,
		})
	}
	return wire
}

func recordsFromWire(wire []*peerpb.Record) []record.Record {
	records := make([]record.Record, 0, len(wire))
	for _, w := range wire {
		records = append(records, record.Record{
			Key:            w.Key,
			ID:             w.Id,
			Digest:         w.Digest,
			State:          record.State(w.State),
			Execution:      w.Execution,
			Status:         int(w.Status),
			Header:         headersFromWire(w.Headers),
			Body:           w.Body,
			Server:         w.Server,
			ProblemKind:    w.Kind,
			ProblemMessage: w.Message,
			HasResponse:    w.AnswerKept,
		})
	}
	return records
}

// ceilUnixMillis rounds up: with a complete-since time that is too early, the copy
// would be taken to include records that the sender does not have.
func ceilUnixMillis(t time.Time) int64 {
	return t.Add(time.Millisecond - time.Nanosecond).UnixMilli()
}
