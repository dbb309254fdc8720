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

// notApplied is no sequence of a board.
const notApplied = math.MaxUint64

// FactsReceiver publishes the facts of one sender on a board. It keeps what it was told,
// since the sender tells only changes, and since a board that has a newer reading
// of its own refuses the sender's until that is the newest. Take is not safe for
// concurrent use; News is.
type FactsReceiver struct {
	board   *facts.Board
	orders  fleet.Orders
	servers map[string]fleet.Server
	owned   map[string][]owners.View
	// appliedOrdersSequence and appliedListingSequence are the board's sequences after the parts were
	// taken, or untaken.
	appliedOrdersSequence, appliedListingSequence atomic.Uint64
}

// NewFactsReceiver returns an inbox for one sender.
func NewFactsReceiver(board *facts.Board) *FactsReceiver {
	i := &FactsReceiver{board: board}
	i.appliedOrdersSequence.Store(notApplied)
	i.appliedListingSequence.Store(notApplied)
	return i
}

// Apply publishes the owners of keys, and what the sender has read from the store
// some time before it arrived at now.
func (r *FactsReceiver) Apply(f *linkpb.Facts, now time.Time) {
	r.merge(f, now)
	if f.Ownership != nil {
		r.board.Owned(r.owned, f.Epoch)
	}
	if f.AgeUs < 0 {
		return // the sender has not read the store
	}
	read := now.Add(-micros(f.AgeUs))
	if r.orders.Config != nil && r.appliedOrdersSequence.Load() != r.board.View().OrdersSequence {
		orders := r.orders
		orders.Revision = f.OrdersRevision
		if r.board.Orders(orders, read) {
			r.appliedOrdersSequence.Store(r.board.View().OrdersSequence)
		}
	}
	if len(r.servers) > 0 && r.appliedListingSequence.Load() != r.board.View().ListingSequence {
		if r.board.Listed(fleet.Listing{Revision: f.ListingRevision, Servers: r.sortedServers()}, read) {
			r.appliedListingSequence.Store(r.board.View().ListingSequence)
		}
	}
	r.board.Confirm(read)
}

// EncodeReading converts what this instance has read from the store for the sender of the
// inbox: its age, and the parts that differ from what the sender has told.
func (r *FactsReceiver) EncodeReading(now time.Time) *linkpb.Facts {
	view := r.board.View()
	out := EncodeFacts(view, SentSequences{Orders: r.appliedOrdersSequence.Load(), Listing: r.appliedListingSequence.Load(), Owned: view.OwnedSequence}, nil, now)
	out.AgeUs = AgeMicros(r.board, now)
	return out
}

// merge notes what the message changes.
func (r *FactsReceiver) merge(f *linkpb.Facts, now time.Time) {
	if f.Orders != nil {
		r.orders = fleet.Orders{Config: f.Orders.Config, DomainsOut: f.Orders.DomainsOut}
		r.appliedOrdersSequence.Store(notApplied)
	}
	if l := f.Listing; l != nil {
		if !l.Changes || r.servers == nil {
			r.servers = map[string]fleet.Server{}
		}
		for _, s := range decodeServers(l.Servers, now) {
			r.servers[s.Name] = s
		}
		for _, name := range l.Gone {
			delete(r.servers, name)
		}
		r.appliedListingSequence.Store(notApplied)
	}
	if o := f.Ownership; o != nil {
		told := decodeOwnership(o)
		if !o.Changes {
			r.owned = told
			return
		}
		next := map[string][]owners.View{}
		for service, ranges := range r.owned {
			next[service] = owners.Paint(ranges, told[service])
		}
		for service, ranges := range told {
			if next[service] == nil {
				next[service] = ranges
			}
		}
		r.owned = next
	}
}

// sortedServers returns the servers by name, as the store lists them.
func (r *FactsReceiver) sortedServers() []fleet.Server {
	out := make([]fleet.Server, 0, len(r.servers))
	for _, s := range r.servers {
		out = append(out, s)
	}
	slices.SortFunc(out, func(a, b fleet.Server) int { return strings.Compare(a.Name, b.Name) })
	return out
}
