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

// Forward serves one forwarded request. A problem travels as a frame, so a drpc
// error always means that the verdict was lost.
func (s *Server) Forward(stream peerpb.DRPCPeer_ForwardStream) error {
	first, err := stream.Recv()
	if err != nil {
		return err
	}
	if first.Head == nil {
		return errors.New("the first frame of a forwarded request has no head; the sender is broken")
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
	answer, err := s.handlers.Requests.Handle(ctx, r)
	timer.Stop()
	if err != nil {
		return stream.Send(&peerpb.AnswerFrame{Problem: problemToWire(problem.From(err)), Last: true})
	}
	defer answer.Body.Close()
	return sendAnswer(stream, answer)
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

func sendAnswer(stream peerpb.DRPCPeer_ForwardStream, answer *request.Response) error {
	head := answerToWire(answer)
	chunk := make([]byte, chunkBytes(answer.ContentLength))
	for {
		n, ended, err := readChunk(answer.Body, chunk)
		if err != nil {
			p := problem.Wrap(err, problem.KindAnswerShort, outcome.StageWritten, "the answer of %s broke off", answer.Server)
			return stream.Send(&peerpb.AnswerFrame{Problem: problemToWire(p), Last: true})
		}
		if err := stream.Send(&peerpb.AnswerFrame{Head: head, Body: chunk[:n], Last: ended}); err != nil || ended {
			return err
		}
		head = nil
	}
}

// chunkBytes returns the size of the buffer for an answer of the announced length:
// one byte more than the answer, so that its end is found within one frame.
func chunkBytes(length int64) int64 {
	if length < 0 {
		return streamedChunkBytes
	}
	return min(length+1, streamedChunkBytes)
}
