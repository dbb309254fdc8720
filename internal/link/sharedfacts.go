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
}

// NewSharedFacts encodes the message, which must not be changed afterwards.
func NewSharedFacts(f *linkpb.Facts) *SharedFacts {
	s := &SharedFacts{facts: f}
	s.encoded, s.err = proto.Marshal(f)
	return s
}

// Size returns the encoded size in bytes.
func (s *SharedFacts) Size() int {
	return len(s.encoded)
}
