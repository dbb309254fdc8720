package peer

import "google.golang.org/protobuf/proto"

// Meter counts control messages. metrics.ControlTraffic implements it.
type Meter interface {
	Sent(message string, bytes int)
	Received(message string, bytes int)
}

// Names of the control messages in the metrics.
const (
	messagePromise  = "promise"
	messageCopy     = "copy_records"
	messageFetch    = "fetch_records"
	messageExchange = "exchange"
	messageHandOver = "hand_over"
)

// countSent counts an outgoing message.
func countSent(m Meter, name string, message proto.Message) {
	m.Sent(name, proto.Size(message))
}

// countReceived counts an incoming message.
func countReceived(m Meter, name string, message proto.Message) {
	m.Received(name, proto.Size(message))
}
