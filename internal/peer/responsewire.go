package peer

import (
	"peridotmoor.org/peridotmoor/internal/peer/peerpb"
	"peridotmoor.org/peridotmoor/internal/request"
)

func responseToWire(a *request.Response) *peerpb.AnswerHead {
	return &peerpb.AnswerHead{
		RequestId:     a.RequestID,
		Status:        int32(a.Status),
		Headers:       headersToWire(a.Header),
		ContentLength: a.ContentLength,
		Server:        a.Server,
		Holder:        a.Holder,
		Replayed:      a.Replayed,
	}
}

func responseFromWire(head *peerpb.AnswerHead) *request.Response {
	return &request.Response{
		RequestID:     head.RequestId,
		Status:        int(head.Status),
		Header:        headersFromWire(head.Headers),
		ContentLength: head.ContentLength,
		Server:        head.Server,
		Holder:        head.Holder,
		Replayed:      head.Replayed,
	}
}
