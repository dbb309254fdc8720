package peer

import (
	"context"
	"io"
	"time"

	"github.com/pkg/errors"

	"peridotmoor.org/peridotmoor/internal/outcome"
	"peridotmoor.org/peridotmoor/internal/peer/peerpb"
	"peridotmoor.org/peridotmoor/internal/problem"
	"peridotmoor.org/peridotmoor/internal/request"
)

// Forward handles a forwarded request. A problem is sent as a frame, so a DRPC error
// always means that the outcome was lost.
func (s *Server) Forward(stream peerpb.DRPCPeer_ForwardStream) error {
	first, err := stream.Recv()
	if err != nil {
		return err
	}
	if first.Head == nil {
		return errors.New("protocol error: the first frame of a forwarded request has no head")
	}
	r := requestFromWire(first.Head, time.Now())
	if first.Head.Streamed {
		r.Body = requestBody(stream, first)
	} else {
		r.Buffered = first.Body
	}
	ctx, cancel := context.WithCancelCause(stream.Context())
	defer cancel(nil)
	timer := time.AfterFunc(time.Until(r.Deadline), func() { cancel(context.DeadlineExceeded) })
	response, err := s.handlers.Requests.Handle(ctx, r)
	timer.Stop()
	if err != nil {
		return stream.Send(&peerpb.AnswerFrame{Problem: problemToWire(problem.From(err)), Last: true})
	}
	defer response.Body.Close()
	return sendResponse(stream, response)
}

func requestBody(stream peerpb.DRPCPeer_ForwardStream, first *peerpb.ForwardFrame) io.Reader {
	receive := func() ([]byte, bool, error) {
		frame, err := stream.Recv()
		if err != nil {
			return nil, false, err
		}
		return frame.Body, frame.Last, nil
	}
	return &frameReader{next: receive, chunk: first.Body, last: first.Last}
}

func sendResponse(stream peerpb.DRPCPeer_ForwardStream, response *request.Response) error {
	head := responseToWire(response)
	chunk := make([]byte, chunkSize(response.ContentLength))
	for {
		n, ended, err := readChunk(response.Body, chunk)
		if err != nil {
			p := problem.Wrap(err, problem.KindAnswerShort, outcome.StageWritten, "the answer of %s broke off", response.Server)
			return stream.Send(&peerpb.AnswerFrame{Problem: problemToWire(p), Last: true})
		}
		if err := stream.Send(&peerpb.AnswerFrame{Head: head, Body: chunk[:n], Last: ended}); err != nil || ended {
			return err
		}
		head = nil
	}
}

// chunkSize returns the size of the buffer for a response of the announced length: one
// byte more than the response, so that its end is detected within the first frame.
func chunkSize(length int64) int64 {
	if length < 0 {
		return streamedChunkBytes
	}
	return min(length+1, streamedChunkBytes)
}
