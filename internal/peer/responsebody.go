package peer

import (
	"github.com/pkg/errors"
	"storj.io/drpc/drpcconn"

	"peridotmoor.org/peridotmoor/internal/peer/peerpb"
)

// responseBody is the body of a forwarded response.
type responseBody struct {
	frameReader
	client  *Client
	address string
	conn    *drpcconn.Conn
	stream  peerpb.DRPCPeer_ForwardClient
	closed  bool
}

func newResponseBody(c *Client, address string, conn *drpcconn.Conn, stream peerpb.DRPCPeer_ForwardClient, first *peerpb.AnswerFrame) *responseBody {
	b := &responseBody{client: c, address: address, conn: conn, stream: stream}
	b.frameReader = frameReader{next: b.receive, chunk: first.Body, last: first.Last}
	return b
}

func (b *responseBody) receive() ([]byte, bool, error) {
	frame, err := b.stream.Recv()
	if err != nil {
		return nil, false, errors.Wrapf(err, "the response from the holder at %s was truncated", b.address)
	}
	if frame.Problem != nil {
		return nil, false, problemFromWire(frame.Problem)
	}
	return frame.Body, frame.Last, nil
}

// Close returns the connection to the pool if the response was read completely, and
// closes it otherwise.
func (b *responseBody) Close() error {
	if b.closed {
		return nil
	}
	b.closed = true
	if !b.last {
		discard(b.conn)
		return nil
	}
	b.client.release(b.address, b.conn, b.stream)
	return nil
}
