package facts

import (
	"context"
	"time"

	"peridotmoor.org/peridotmoor/internal/events"
	"peridotmoor.org/peridotmoor/internal/fleet"
)

const (
	// readTimeout bounds one reading; a store that is slow answers within it.
	readTimeout = 900 * time.Millisecond
	// outageThreshold without a reading, entries may have lapsed because the store was away;
	// an entry lives for three heartbeats.
	outageThreshold = 2400 * time.Millisecond
	// relistPeriod is how long after an outage live servers may take to be listed again.
	relistPeriod = 2200 * time.Millisecond
)

// Reader reads the facts from the store into a board.
type Reader struct {
	source Source
	board  *Registry
	log    *events.Logger
	// recoveredAt is when the store was back after the last outage.
	recoveredAt time.Time
	unreadable  map[string]bool
	storeLost   bool
}

// NewReader returns a reader. One goroutine at a time may call Read.
func NewReader(source Source, board *Registry, log *events.Logger) *Reader {
	return &Reader{source: source, board: board, log: log, unreadable: map[string]bool{}}
}

// Read reads everything once. The error says that the store did not answer.
func (r *Reader) Read(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	began := time.Now()
	listing, err := r.source.Listing(ctx)
	if err == nil {
		var orders fleet.OperatorSettings
		if orders, err = r.source.OperatorSettings(ctx); err == nil {
			r.apply(began, listing, orders)
			return nil
		}
	}
	if !r.storeLost && ctx.Err() != context.Canceled {
		r.storeLost = true
		r.log.Emit(events.StoreLost, "detail", err.Error())
	}
	return err
}

func (r *Reader) apply(began time.Time, listing fleet.Listing, orders fleet.OperatorSettings) {
	if age, known := r.board.Age(began); known && age > outageThreshold {
		r.recoveredAt = began
	}
	if r.storeLost {
		r.storeLost = false
		r.log.Emit(events.StoreRegained)
	}
	for _, key := range listing.Unreadable {
		if !r.unreadable[key] {
			r.unreadable[key] = true
			r.log.Emit(events.EntryUnreadable, "detail", key)
		}
	}
	if began.Sub(r.recoveredAt) < relistPeriod {
		listing.Servers = RetainMissing(r.board.Snapshot().Servers, listing.Servers)
	}
	r.board.UpdateOperatorSettings(orders, began)
	r.board.UpdateListing(listing, began)
	r.board.ConfirmRead(began)
}
