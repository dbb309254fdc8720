package link

import (
	"github.com/pkg/errors"
	"google.golang.org/protobuf/proto"

	"peridotmoor.org/peridotmoor/internal/facts"
	"peridotmoor.org/peridotmoor/internal/link/linkpb"
)

const (
	// maxUndivided is the size in bytes up to which the facts for an instance that joins are one
	// message. A link of 10 Mbit/s takes 40 ms for it, in which decisions have to wait.
	maxUndivided = 48 << 10
	// partServers is the number of servers in a part: 20 KB, of which packing leaves some 5 KB.
	partServers = 256
)

// JoinReply is what instances are sent that join and have told the same: a first message with
// the operators' settings, and the listing and the owners either in it or in parts. It is
// immutable and may be sent to several instances.
type JoinReply struct {
	first *SharedFacts
	parts []*linkpb.Facts
	// base is the snapshot from which the reply was made.
	base *facts.Snapshot
}

// NewJoinReply divides facts that were made from the given snapshot if they are large and the
// instance takes parts.
func NewJoinReply(whole *linkpb.Facts, base *facts.Snapshot, takesParts bool) (*JoinReply, error) {
	if !takesParts || whole.Listing == nil || proto.Size(whole.Listing)+proto.Size(whole.Ownership) <= maxUndivided {
		return &JoinReply{first: NewSharedFacts(whole), base: base}, nil
	}
	r := &JoinReply{base: base}
	last := &linkpb.Facts{
		Epoch: whole.Epoch, OrdersRevision: whole.OrdersRevision, ListingRevision: whole.ListingRevision, Era: whole.Era,
		Listing: &linkpb.Listing{Changes: whole.Listing.Changes}, Ownership: whole.Ownership,
	}
	if whole.Resumed != nil {
		last.Resumed = &linkpb.Resumed{
			Listing: whole.Resumed.Listing, ListingBuckets: whole.Resumed.ListingBuckets,
			Owners: whole.Resumed.Owners, OwnerSegments: whole.Resumed.OwnerSegments,
		}
	}
	servers := whole.Listing.Servers
	for ; len(servers) > partServers; servers = servers[partServers:] {
		if err := r.addPart(&linkpb.Facts{Listing: &linkpb.Listing{Servers: servers[:partServers], More: true}}); err != nil {
			return nil, err
		}
	}
	last.Listing.Servers = servers
	if err := r.addPart(last); err != nil {
		return nil, err
	}
	r.first = NewSharedFacts(&linkpb.Facts{
		Epoch: whole.Epoch, OrdersRevision: whole.OrdersRevision, ListingRevision: whole.ListingRevision, Era: whole.Era,
		Orders: whole.Orders, Backpressure: whole.Backpressure, Instances: whole.Instances, Strongest: whole.Strongest,
		Resumed: &linkpb.Resumed{Orders: whole.Resumed.GetOrders()}, Listing: &linkpb.Listing{More: true},
	})
	return r, nil
}

func (r *JoinReply) addPart(f *linkpb.Facts) error {
	part, err := pack(f)
	r.parts = append(r.parts, part)
	return errors.Wrap(err, "divide a listing")
}

// Parts returns the number of parts that follow the first message.
func (r *JoinReply) Parts() int {
	return len(r.parts)
}

// PartSize returns the size of a part in bytes.
func (r *JoinReply) PartSize(i int) int {
	return len(r.parts[i].Packed)
}
