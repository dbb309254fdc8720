package peer

import (
	"net/textproto"

	"peridotmoor.org/peridotmoor/internal/peer/peerpb"
)

func headersToWire(header textproto.MIMEHeader) []*peerpb.Header {
	wire := make([]*peerpb.Header, 0, len(header))
	for name, values := range header {
		wire = append(wire, &peerpb.Header{Name: name, Values: values})
	}
	return wire
}

func headersFromWire(wire []*peerpb.Header) textproto.MIMEHeader {
	header := make(textproto.MIMEHeader, len(wire))
	for _, h := range wire {
		header[h.Name] = h.Values
	}
	return header
}
