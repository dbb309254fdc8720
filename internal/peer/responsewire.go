package peer

import (
	"peridotmoor.org/peridotmoor/internal/peer/peerpb"
	"peridotmoor.org/peridotmoor/internal/request"
)

func responseToWire(response *request.Response) *peerpb.AnswerHead {
	return &peerpb.AnswerHead{
		RequestId:     response.RequestID,
		Status:        int32(response.Status),
		Headers:       headersToWire(response.Header),
		ContentLength: response.ContentLength,
		Server:        response.Server,
		Holder:        response.Holder,
		Replayed:      response.Replayed,
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
