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

// Forward sends r to the holder at address. A returned error wraps a
// *problem.Problem, whose stage is StageForwardUnsent only if no byte of the request
// can have reached the holder.
func (c *Client) Forward(ctx context.Context, address string, r *request.Request) (*request.Response, error) {
	conn, err := c.pool.Take(ctx, address)
	if err != nil {
		return nil, problem.Wrap(err, problem.KindNoHolder, outcome.StageForwardUnsent, "the holder at %s does not accept connections", address)
	}
	stream, err := peerpb.NewDRPCPeerClient(conn).Forward(ctx)
	if err != nil {
		discard(conn)
		return nil, connectionLost(err, address)
	}
	if err := sendRequest(stream, r); err != nil {
		discard(conn)
		return nil, connectionLost(err, address)
	}
	first, err := stream.Recv()
	if err != nil {
		discard(conn)
		return nil, connectionLost(err, address)
	}
	if first.Problem != nil {
		c.release(address, conn, stream)
		return nil, problemFromWire(first.Problem)
	}
	if first.Head == nil || first.Head.RequestId != r.ID {
		discard(conn)
		return nil, problem.New(problem.KindAnswerCrossed, outcome.StageForwardSent, "the holder at %s answered another request", address)
	}
	response := responseFromWire(first.Head)
	response.Body = newResponseBody(c, address, conn, stream, first)
	return response, nil
}

func connectionLost(err error, address string) *problem.Problem {
	return problem.Wrap(err, problem.KindHolderLost, outcome.StageForwardSent, "the connection to the holder at %s was lost", address)
}

// sendRequest sends the head together with a buffered body in one frame. A streamed
// body is sent in the background while the response is awaited.
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

// sendBody closes the stream with an error if the caller's upload is truncated, so
// that the holder never takes a part of the body for the complete one.
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

// release returns the connection to the pool if the holder has ended the call
// regularly, and closes it otherwise.
func (c *Client) release(address string, conn *drpcconn.Conn, stream peerpb.DRPCPeer_ForwardClient) {
	if _, err := stream.Recv(); !errors.Is(err, io.EOF) {
		discard(conn)
		return
	}
	if stream.Close() != nil {
		discard(conn)
		return
	}
	c.pool.Put(address, conn)
}
