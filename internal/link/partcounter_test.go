package link

import (
	"testing"

	"github.com/matryer/is"

	"peridotmoor.org/peridotmoor/internal/link/linkpb"
)

// Guards against a transfer that never ends because an acknowledgement found the queue full.
func TestAcknowledgementThatIsNotQueuedIsSentLater(t *testing.T) {
	is := is.New(t)
	var parts partCounter
	full := true
	var sent []uint32
	receive := func(down *linkpb.Down) {
		parts.count(down)
		parts.acknowledge(func(up *linkpb.Up) bool {
			if !full {
				sent = append(sent, up.Parts)
			}
			return !full
		})
	}
	receive(&linkpb.Down{Facts: []*linkpb.Facts{{Packed: []byte("part")}}})
	full = false
	receive(&linkpb.Down{}) // a heartbeat
	receive(&linkpb.Down{})
	is.Equal(sent, []uint32{1})
}
