package link

import "peridotmoor.org/peridotmoor/internal/link/linkpb"

// Member describes an instance to the holder that it joins.
type Member struct {
	Instance string
	Domain   string
	// ProcessorShare is the share of a processor available on the instance's machine.
	ProcessorShare float64
}

// EncodeMember returns a message with the member. It is the first message of a link, and
// is sent again when the member has changed.
func EncodeMember(m Member) *linkpb.Up {
	return &linkpb.Up{Instance: m.Instance, Domain: m.Domain, Processor: m.ProcessorShare}
}

// DecodeMember returns the member in a message, and false if the message has none.
func DecodeMember(up *linkpb.Up) (Member, bool) {
	return Member{Instance: up.Instance, Domain: up.Domain, ProcessorShare: up.Processor}, up.Instance != ""
}
