package peer

import (
	"time"

	"peridotmoor.org/peridotmoor/internal/key"
	"peridotmoor.org/peridotmoor/internal/peer/peerpb"
	"peridotmoor.org/peridotmoor/internal/request"
)

func requestToWire(r *request.Request, now time.Time) *peerpb.RequestHead {
	return &peerpb.RequestHead{
		Id:            r.ID,
		Service:       r.Service,
		Key:           r.Key,
		Method:        r.Method,
		Path:          r.Path,
		Headers:       headersToWire(r.Header),
		Idempotent:    r.Idempotent,
		RemainingMs:   r.Deadline.Sub(now).Milliseconds(),
		ContentLength: r.ContentLength,
		Digest:        r.Digest,
		Entry:         r.Entry,
		Attempt:       int32(r.Attempt),
		TraceParent:   r.TraceParent,
		Streamed:      r.Streamed(),
		Team:          r.Team,
	}
}

func requestFromWire(head *peerpb.RequestHead, now time.Time) *request.Request {
	return &request.Request{
		ID:            head.Id,
		Service:       head.Service,
		Key:           head.Key,
		KeyHash:       key.HashOf(head.Key),
		Method:        head.Method,
		Path:          head.Path,
		Header:        headersFromWire(head.Headers),
		Idempotent:    head.Idempotent,
		Deadline:      now.Add(time.Duration(head.RemainingMs) * time.Millisecond),
		ContentLength: head.ContentLength,
		Digest:        head.Digest,
		Entry:         head.Entry,
		Attempt:       int(head.Attempt),
		TraceParent:   head.TraceParent,
		Team:          head.Team,
	}
}
