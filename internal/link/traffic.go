package link

import (
	"sync/atomic"

	"google.golang.org/protobuf/proto"

	"peridotmoor.org/peridotmoor/internal/link/linkpb"
)

// Traffic counts the encoded bytes sent to followers by kind of content. It is safe for
// concurrent use.
type Traffic struct {
	bytes [kinds]atomic.Uint64
}

// Bytes returns the bytes sent of a kind.
func (t *Traffic) Bytes(k Kind) uint64 {
	return t.bytes[k].Load()
}

// count counts a message with its shared facts.
func (t *Traffic) count(out *outgoing) {
	own := out.down
	parts := 0
	for _, f := range own.Facts {
		parts += len(f.Packed)
	}
	decisions := 0
	if len(own.Verdicts)+len(own.Waiting) > 0 {
		decisions = proto.Size(&linkpb.Down{Verdicts: own.Verdicts, Waiting: own.Waiting})
	}
	t.add(KindDecisions, decisions)
	t.add(KindParts, parts)
	t.add(KindOther, proto.Size(own)-decisions-parts)
	if out.shared != nil {
		for k, size := range out.shared.sizes {
			t.add(Kind(k), size)
		}
	}
}

func (t *Traffic) add(k Kind, bytes int) {
	if bytes > 0 {
		t.bytes[k].Add(uint64(bytes))
	}
}
