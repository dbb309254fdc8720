package link

import (
	"google.golang.org/protobuf/proto"

	"peridotmoor.org/peridotmoor/internal/link/linkpb"
)

// SharedFacts is a message of facts for several followers, which is encoded once. It is
// immutable.
type SharedFacts struct {
	facts   *linkpb.Facts
	encoded []byte
	err     error
	// sizes holds the encoded size by kind of content.
	sizes [kinds]int
}

// NewSharedFacts encodes the message, which must not be changed afterwards.
func NewSharedFacts(f *linkpb.Facts) *SharedFacts {
	s := &SharedFacts{facts: f}
	s.encoded, s.err = proto.Marshal(f)
	if f.Orders != nil {
		s.sizes[KindSettings] = proto.Size(f.Orders)
	}
	if f.Listing != nil {
		s.sizes[KindListing] = proto.Size(f.Listing)
	}
	if f.Ownership != nil {
		s.sizes[KindOwners] = proto.Size(f.Ownership)
	}
	s.sizes[KindHeartbeats] = len(s.encoded) - s.sizes[KindSettings] - s.sizes[KindListing] - s.sizes[KindOwners]
	return s
}
