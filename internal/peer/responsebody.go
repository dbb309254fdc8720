package peer

import (
	"github.com/pkg/errors"
	"storj.io/drpc/drpcconn"

	"peridotmoor.org/peridotmoor/internal/peer/peerpb"
)

// answerBody is the body of a forwarded answer.
type answerBody struct {
	frameReader
	client  *Client
	address string
	conn    *drpcconn.Conn
	stream  peerpb.DRPCPeer_ForwardClient
	closed  bool
}

func newAnswerBody(c *Client, address string, conn *drpcconn.Conn, stream peerpb.DRPCPeer_ForwardClient, first *peerpb.AnswerFrame) *answerBody {
	b := &answerBody{client: c, address: address, conn: conn, stream: stream}
	b.frameReader = frameReader{next: b.receive, chunk: first.Body, last: first.Last}
	return b
}

func (b *answerBody) receive() ([]byte, bool, error) {
	frame, err := b.stream.Recv()
	if err != nil {
		return nil, false, errors.Wrapf(err, "the answer from the holder at %s broke off", b.address)
	}
	if frame.Problem != nil {
		return nil, false, problemFromWire(frame.Problem)
	}
	return frame.Body, frame.Last, nil
}

// Close returns the connection to the pool after a whole answer and closes it otherwise.
func (b *answerBody) Close() error {
	if b.closed {
		return nil
	}
	b.closed = true
	if !b.last {
		giveUp(b.conn)
		return nil
	}
	b.client.finish(b.address, b.conn, b.stream)
	return nil
}
