package link

import (
	"github.com/pkg/errors"
	"google.golang.org/protobuf/encoding/protowire"
	"google.golang.org/protobuf/proto"
	"storj.io/drpc"
)

// factsField is the number of the field facts in linkpb.Down.
const factsField = 3

// outgoingEncoding encodes an outgoing message like the linkpb.Down that has its facts. The
// encoded facts are copied only.
type outgoingEncoding struct{}

// Marshal implements drpc.Encoding.
func (e outgoingEncoding) Marshal(message drpc.Message) ([]byte, error) {
	return e.MarshalAppend(nil, message)
}

// MarshalAppend appends the encoded message to the buffer.
func (outgoingEncoding) MarshalAppend(buffer []byte, message drpc.Message) ([]byte, error) {
	out, ok := message.(*outgoing)
	if !ok {
		return nil, errors.Errorf("cannot encode a message of type %T", message)
	}
	buffer, err := proto.MarshalOptions{}.MarshalAppend(buffer, out.down)
	if err != nil || out.shared == nil {
		return buffer, err
	}
	if out.shared.err != nil {
		return nil, out.shared.err
	}
	buffer = protowire.AppendTag(buffer, factsField, protowire.BytesType)
	return protowire.AppendBytes(buffer, out.shared.encoded), nil
}

// Unmarshal implements drpc.Encoding. Outgoing messages are never received.
func (outgoingEncoding) Unmarshal([]byte, drpc.Message) error {
	return errors.New("outgoing messages cannot be decoded")
}
