package peer

import (
	"context"
	"io"
	"time"

	"github.com/pkg/errors"
	"storj.io/drpc/drpcconn"

	"peridotmoor.org/peridotmoor/internal/outcome"
	"peridotmoor.org/peridotmoor/internal/peer/peerpb"
	"peridotmoor.org/peridotmoor/internal/problem"
	"peridotmoor.org/peridotmoor/internal/request"
)

// Forward sends r to the holder at address. A returned error has a
// *problem.Problem in its chain; its stage is StageForwardUnsent only when no
// byte of the request can have reached the holder.
func (c *Client) Forward(ctx context.Context, address string, r *request.Request) (*request.Response, error) {
	conn, err := c.pool.Take(ctx, address)
	if err != nil {
		return nil, problem.Wrap(err, problem.KindNoHolder, outcome.StageForwardUnsent, "the holder at %s does not accept connections", address)
	}
	stream, err := peerpb.NewDRPCPeerClient(conn).Forward(ctx)
	if err != nil {
		giveUp(conn)
		return nil, lost(err, address)
	}
	if err := sendRequest(stream, r); err != nil {
		giveUp(conn)
		return nil, lost(err, address)
	}
	first, err := stream.Recv()
	if err != nil {
		giveUp(conn)
		return nil, lost(err, address)
	}
	if first.Problem != nil {
		c.finish(address, conn, stream)
		return nil, problemFromWire(first.Problem)
	}
	if first.Head == nil || first.Head.RequestId != r.ID {
		giveUp(conn)
		return nil, problem.New(problem.KindAnswerCrossed, outcome.StageForwardSent, "the holder at %s answered another request", address)
	}
	answer := answerFromWire(first.Head)
	answer.Body = newAnswerBody(c, address, conn, stream, first)
	return answer, nil
}

func lost(err error, address string) *problem.Problem {
	return problem.Wrap(err, problem.KindHolderLost, outcome.StageForwardSent, "the connection to the holder at %s was lost", address)
}

// sendRequest sends the head with a buffered body in one frame, and a streamed
// body in the background while the answer is awaited.
func sendRequest(stream peerpb.DRPCPeer_ForwardClient, r *request.Request) error {
	head := requestToWire(r, time.Now())
	if !r.Streamed() {
		return stream.Send(&peerpb.ForwardFrame{Head: head, Body: r.Buffered, Last: true})
	}
	if err := stream.Send(&peerpb.ForwardFrame{Head: head}); err != nil {
		return err
	}
	go sendBody(stream, r.Body)
	return nil
}

// sendBody ends the stream with an error when the caller's upload breaks off,
// so that the holder never takes a part for the whole.
func sendBody(stream peerpb.DRPCPeer_ForwardClient, body io.Reader) {
	chunk := make([]byte, streamedChunkBytes)
	for {
		n, ended, err := readChunk(body, chunk)
		if err != nil {
			_ = stream.Close()
			return
		}
		if stream.Send(&peerpb.ForwardFrame{Body: chunk[:n], Last: ended}) != nil || ended {
			return
		}
	}
}

// finish returns the connection to the pool once the holder has ended the call.
func (c *Client) finish(address string, conn *drpcconn.Conn, stream peerpb.DRPCPeer_ForwardClient) {
	if _, err := stream.Recv(); !errors.Is(err, io.EOF) {
		giveUp(conn)
		return
	}
	if stream.Close() != nil {
		giveUp(conn)
		return
	}
	c.pool.Put(address, conn)
}
