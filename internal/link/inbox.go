package link

import (
	"math"
	"time"

	"peridotmoor.org/peridotmoor/internal/facts"
	"peridotmoor.org/peridotmoor/internal/fleet"
	"peridotmoor.org/peridotmoor/internal/link/linkpb"
)

// Inbox publishes the facts of one sender on a board. It keeps the parts that were
// told last, since a board that has a newer reading of its own refuses them at
// first, and the sender does not repeat what has not changed for it. It is not
// safe for concurrent use.
type Inbox struct {
	board   *facts.Board
	orders  *linkpb.Orders
	listing *linkpb.Listing
	// ordersTaken and listingTaken are the board's sequences after the parts were
	// taken, or untaken.
	ordersTaken, listingTaken uint64
}

// untaken is no sequence of a board.
const untaken = math.MaxUint64

// NewInbox returns an inbox for one sender.
func NewInbox(board *facts.Board) *Inbox {
	return &Inbox{board: board}
}

// Take publishes what the sender has read from the store some time before it arrived at now.
func (i *Inbox) Take(f *linkpb.Facts, now time.Time) {
	if f.AgeUs < 0 {
		return // the sender has not read the store
	}
	read := now.Add(-micros(f.AgeUs))
	if f.Orders != nil && f.Orders.Config != nil {
		i.orders, i.ordersTaken = f.Orders, untaken
	}
	if f.Listing != nil && len(f.Listing.Servers) > 0 {
		i.listing, i.listingTaken = f.Listing, untaken
	}
	if i.orders != nil && i.ordersTaken != i.board.View().OrdersSequence {
		orders := fleet.Orders{Revision: f.OrdersRevision, Config: i.orders.Config, DomainsOut: i.orders.DomainsOut}
		if i.board.Orders(orders, read) {
			i.ordersTaken = i.board.View().OrdersSequence
		}
	}
	if i.listing != nil && i.listingTaken != i.board.View().ListingSequence {
		listing := fleet.Listing{Revision: f.ListingRevision, Servers: DecodeListing(i.listing, now)}
		if i.board.Listed(listing, read) {
			i.listingTaken = i.board.View().ListingSequence
		}
	}
	i.board.Confirm(read)
}
