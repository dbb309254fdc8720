package link

import (
	"testing"
	"time"

	"github.com/matryer/is"
	"google.golang.org/protobuf/proto"

	"peridotmoor.org/peridotmoor/internal/link/linkpb"
)

// Guards against an instance that takes a listing for complete of which a part could not be
// decoded, and against messages that are unpacked in place although several links share them.
func TestPartThatCannotBeDecoded(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	part, err := pack(&linkpb.Facts{Listing: &linkpb.Listing{Servers: []*linkpb.Server{{Name: "a"}}, More: true}})
	is.NoErr(err)
	last, err := pack(&linkpb.Facts{ListingRevision: 1, Listing: &linkpb.Listing{Servers: []*linkpb.Server{{Name: "b"}}}})
	is.NoErr(err)
	for _, broken := range []bool{false, true} {
		first := proto.Clone(part).(*linkpb.Facts)
		if broken {
			first.Packed = first.Packed[:len(first.Packed)/2]
		}
		registry := newResumeRegistry()
		receiver := NewFactsReceiver(registry)
		receiver.Apply(first, time.Time{}, now)
		is.Equal(receiver.Receiving(now.Add(time.Second)), !broken)
		is.True(!receiver.Receiving(now.Add(time.Minute)))
		receiver.Apply(last, time.Time{}, now)
		is.True(!receiver.Receiving(now))
		if broken {
			is.Equal(len(names(registry)), 0)
		} else {
			is.Equal(names(registry), []string{"a", "b"})
			is.True(first.Listing == nil)
		}
	}
}
