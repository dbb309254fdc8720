package peer

import "google.golang.org/protobuf/proto"

// Meter counts control messages. metrics.Control implements it.
type Meter interface {
	Sent(message string, bytes int)
	Received(message string, bytes int)
}

// Names under which control messages are counted.
const (
	messagePromise  = "promise"
	messageCopy     = "copy_records"
	messageFetch    = "fetch_records"
	messageExchange = "exchange"
	messageHandOver = "hand_over"
)

// sent counts a message that goes out and received one that came in.
func sent(m Meter, name string, message proto.Message) {
	m.Sent(name, proto.Size(message))
}

func received(m Meter, name string, message proto.Message) {
	m.Received(name, proto.Size(message))
}
