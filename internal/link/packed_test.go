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

// Guards against packed facts that differ from those that were told, or that hide how many
// instances follow the holder.
func TestLargeFactsArePacked(t *testing.T) {
	is := is.New(t)
	large := &linkpb.Facts{Epoch: 1, Instances: 298, Strongest: 0.8, ListingRevision: 5, Orders: &linkpb.Orders{Config: make([]byte, minPacked)}}
	packed := PackLarge(large)
	is.True(proto.Size(packed) < minPacked/10)
	is.Equal(packed.Instances, int32(298))
	got, err := unpack(packed)
	is.NoErr(err)
	is.True(proto.Equal(got, large))
	small := &linkpb.Facts{Epoch: 1}
	is.Equal(PackLarge(small), small)
}

// Guards against a listing without end that takes all memory of an instance, and against an
// instance that goes on waiting for the remainder of one that it has given up.
func TestListingWithoutEndIsAbandoned(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	part := &linkpb.Facts{Listing: &linkpb.Listing{More: true}}
	for range partServers {
		part.Listing.Servers = append(part.Listing.Servers, &linkpb.Server{Name: "a"})
	}
	registry := newResumeRegistry()
	receiver := NewFactsReceiver(registry)
	for range maxIncoming/partServers + 10 {
		receiver.Apply(part, time.Time{}, now)
	}
	is.Equal(len(receiver.incoming), 0)
	is.True(!receiver.Receiving(now))
	receiver.Apply(&linkpb.Facts{ListingRevision: 1, OrdersRevision: 1, Listing: &linkpb.Listing{}}, now, now)
	_, known := registry.Age(now)
	is.True(!known)
}

// Guards against packed facts that decompress to more memory than an instance has.
func TestPackedFactsAreBounded(t *testing.T) {
	is := is.New(t)
	packed, err := pack(&linkpb.Facts{Orders: &linkpb.Orders{Config: make([]byte, maxUnpacked)}})
	is.NoErr(err)
	is.True(len(packed.Packed) < maxUnpacked/100)
	_, err = unpack(packed)
	is.True(err != nil)
}

// Guards against a broken part after which the instance waits for the others in place of
// reading the store itself.
func TestBrokenPartEndsTheWait(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	receiver := NewFactsReceiver(newResumeRegistry())
	receiver.Apply(&linkpb.Facts{Listing: &linkpb.Listing{More: true}}, time.Time{}, now)
	is.True(receiver.Receiving(now))
	receiver.Apply(&linkpb.Facts{Packed: []byte("x")}, time.Time{}, now)
	is.True(!receiver.Receiving(now))
}
