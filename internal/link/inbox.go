package link

import (
	"math"
	"slices"
	"strings"
	"sync/atomic"
	"time"

	"peridotmoor.org/peridotmoor/internal/facts"
	"peridotmoor.org/peridotmoor/internal/fleet"
	"peridotmoor.org/peridotmoor/internal/link/linkpb"
	"peridotmoor.org/peridotmoor/internal/owners"
)

// untaken is no sequence of a board.
const untaken = math.MaxUint64

// FactsReceiver publishes the facts of one sender on a board. It keeps what it was told,
// since the sender tells only changes, and since a board that has a newer reading
// of its own refuses the sender's until that is the newest. Take is not safe for
// concurrent use; News is.
type FactsReceiver struct {
	board   *facts.Board
	orders  fleet.Orders
	servers map[string]fleet.Server
	owned   map[string][]owners.View
	// ordersTaken and listingTaken are the board's sequences after the parts were
	// taken, or untaken.
	ordersTaken, listingTaken atomic.Uint64
}

// NewFactsReceiver returns an inbox for one sender.
func NewFactsReceiver(board *facts.Board) *FactsReceiver {
	i := &FactsReceiver{board: board}
	i.ordersTaken.Store(untaken)
	i.listingTaken.Store(untaken)
	return i
}

// Apply publishes the owners of keys, and what the sender has read from the store
// some time before it arrived at now.
func (i *FactsReceiver) Apply(f *linkpb.Facts, now time.Time) {
	i.keep(f, now)
	if f.Ownership != nil {
		i.board.Owned(i.owned, f.Epoch)
	}
	if f.AgeUs < 0 {
		return // the sender has not read the store
	}
	read := now.Add(-micros(f.AgeUs))
	if i.orders.Config != nil && i.ordersTaken.Load() != i.board.View().OrdersSequence {
		orders := i.orders
		orders.Revision = f.OrdersRevision
		if i.board.Orders(orders, read) {
			i.ordersTaken.Store(i.board.View().OrdersSequence)
		}
	}
	if len(i.servers) > 0 && i.listingTaken.Load() != i.board.View().ListingSequence {
		if i.board.Listed(fleet.Listing{Revision: f.ListingRevision, Servers: i.listing()}, read) {
			i.listingTaken.Store(i.board.View().ListingSequence)
		}
	}
	i.board.Confirm(read)
}

// EncodeReading converts what this instance has read from the store for the sender of the
// inbox: its age, and the parts that differ from what the sender has told.
func (i *FactsReceiver) EncodeReading(now time.Time) *linkpb.Facts {
	view := i.board.View()
	out := EncodeFacts(view, SentSequences{Orders: i.ordersTaken.Load(), Listing: i.listingTaken.Load(), Owned: view.OwnedSequence}, nil, now)
	out.AgeUs = AgeMicros(i.board, now)
	return out
}

// keep notes what the message changes.
func (i *FactsReceiver) keep(f *linkpb.Facts, now time.Time) {
	if f.Orders != nil {
		i.orders = fleet.Orders{Config: f.Orders.Config, DomainsOut: f.Orders.DomainsOut}
		i.ordersTaken.Store(untaken)
	}
	if l := f.Listing; l != nil {
		if !l.Changes || i.servers == nil {
			i.servers = map[string]fleet.Server{}
		}
		for _, s := range decodeServers(l.Servers, now) {
			i.servers[s.Name] = s
		}
		for _, name := range l.Gone {
			delete(i.servers, name)
		}
		i.listingTaken.Store(untaken)
	}
	if o := f.Ownership; o != nil {
		told := decodeOwnership(o)
		if !o.Changes {
			i.owned = told
			return
		}
		next := map[string][]owners.View{}
		for service, ranges := range i.owned {
			next[service] = owners.Paint(ranges, told[service])
		}
		for service, ranges := range told {
			if next[service] == nil {
				next[service] = ranges
			}
		}
		i.owned = next
	}
}

// listing returns the servers by name, as the store lists them.
func (i *FactsReceiver) listing() []fleet.Server {
	out := make([]fleet.Server, 0, len(i.servers))
	for _, s := range i.servers {
		out = append(out, s)
	}
	slices.SortFunc(out, func(a, b fleet.Server) int { return strings.Compare(a.Name, b.Name) })
	return out
}
