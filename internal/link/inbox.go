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

// Inbox publishes the facts of one sender on a board. It keeps what it was told,
// since the sender tells only changes, and since a board that has a newer reading
// of its own refuses the sender's until that is the newest. Take is not safe for
// concurrent use; News is.
type Inbox struct {
	board   *facts.Registry
	orders  fleet.OperatorSettings
	servers map[string]fleet.Server
	owned   map[string][]owners.OwnedRange
	// ordersTaken and listingTaken are the board's sequences after the parts were
	// taken, or untaken.
	ordersTaken, listingTaken atomic.Uint64
}

// NewInbox returns an inbox for one sender.
func NewInbox(board *facts.Registry) *Inbox {
	i := &Inbox{board: board}
	i.ordersTaken.Store(untaken)
	i.listingTaken.Store(untaken)
	return i
}

// Take publishes the owners of keys, and what the sender has read from the store
// some time before it arrived at now.
func (i *Inbox) Take(f *linkpb.Facts, now time.Time) {
	i.keep(f, now)
	if f.Ownership != nil {
		i.board.UpdateOwners(i.owned, f.Epoch)
	}
	if f.AgeUs < 0 {
		return // the sender has not read the store
	}
	read := now.Add(-micros(f.AgeUs))
	if i.orders.Config != nil && i.ordersTaken.Load() != i.board.Snapshot().OperatorSettingsSequence {
		orders := i.orders
		orders.Revision = f.OrdersRevision
		if i.board.UpdateOperatorSettings(orders, read) {
			i.ordersTaken.Store(i.board.Snapshot().OperatorSettingsSequence)
		}
	}
	if len(i.servers) > 0 && i.listingTaken.Load() != i.board.Snapshot().ListingSequence {
		if i.board.UpdateListing(fleet.Listing{Revision: f.ListingRevision, Servers: i.listing()}, read) {
			i.listingTaken.Store(i.board.Snapshot().ListingSequence)
		}
	}
	i.board.ConfirmRead(read)
}

// News converts what this instance has read from the store for the sender of the
// inbox: its age, and the parts that differ from what the sender has told.
func (i *Inbox) News(now time.Time) *linkpb.Facts {
	view := i.board.Snapshot()
	out := EncodeFacts(view, Sent{Orders: i.ordersTaken.Load(), Listing: i.listingTaken.Load(), Owned: view.OwnedRangesSequence}, nil, now)
	out.AgeUs = AgeOf(i.board, now)
	return out
}

// keep notes what the message changes.
func (i *Inbox) keep(f *linkpb.Facts, now time.Time) {
	if f.Orders != nil {
		i.orders = fleet.OperatorSettings{Config: f.Orders.Config, DomainsOut: f.Orders.DomainsOut}
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
		next := map[string][]owners.OwnedRange{}
		for service, ranges := range i.owned {
			next[service] = owners.ApplyChanges(ranges, told[service])
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
func (i *Inbox) listing() []fleet.Server {
	out := make([]fleet.Server, 0, len(i.servers))
	for _, s := range i.servers {
		out = append(out, s)
	}
	slices.SortFunc(out, func(a, b fleet.Server) int { return strings.Compare(a.Name, b.Name) })
	return out
}
