package facts

import (
	"context"
	"time"

	"peridotmoor.org/peridotmoor/internal/events"
	"peridotmoor.org/peridotmoor/internal/fleet"
)

const (
	// readTimeout limits one reading. A slow store still answers within it.
	readTimeout = 900 * time.Millisecond
	// outageThreshold is the time without a reading after which entries may have expired
	// because servers could not renew them. An entry is valid for three heartbeats.
	outageThreshold = 2400 * time.Millisecond
	// relistPeriod is how long live servers may take to be listed again after an outage.
	relistPeriod = 2200 * time.Millisecond
)

// Reader reads the facts from the store into a registry.
type Reader struct {
	source   Source
	registry *Registry
	log      *events.Logger
	// recoveredAt is when the store was reachable again after the last outage.
	recoveredAt time.Time
	// unreadable holds the keys of the entries that the last reading could not decode.
	unreadable map[string]bool
	storeLost  bool
}

// NewReader returns a reader. Its Read is not safe for concurrent use.
func NewReader(source Source, registry *Registry, log *events.Logger) *Reader {
	return &Reader{source: source, registry: registry, log: log, unreadable: map[string]bool{}}
}

// Read reads all facts once. It returns an error if the store could not be read.
func (r *Reader) Read(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	began := time.Now()
	listing, err := r.source.Listing(ctx)
	if err == nil {
		var settings fleet.OperatorSettings
		if settings, err = r.source.OperatorSettings(ctx); err == nil {
			r.apply(began, listing, settings)
			return nil
		}
	}
	if !r.storeLost && ctx.Err() != context.Canceled {
		r.storeLost = true
		r.log.Emit(events.StoreLost, "detail", err.Error())
	}
	return err
}

func (r *Reader) apply(began time.Time, listing fleet.Listing, settings fleet.OperatorSettings) {
	if age, known := r.registry.Age(began); known && age > outageThreshold {
		r.recoveredAt = began
	}
	if r.storeLost {
		r.storeLost = false
		r.log.Emit(events.StoreRegained)
	}
	r.logUnreadable(listing.Unreadable)
	if began.Sub(r.recoveredAt) < relistPeriod {
		listing.Servers = RetainMissing(r.registry.Snapshot().Servers, listing.Servers)
	}
	r.registry.UpdateOperatorSettings(settings, began)
	r.registry.UpdateListing(listing, began)
	r.registry.ConfirmRead(began)
}

// logUnreadable logs each entry that has become unreadable since the last reading.
func (r *Reader) logUnreadable(entries []fleet.UnreadableEntry) {
	unreadable := make(map[string]bool, len(entries))
	for _, e := range entries {
		unreadable[e.Key] = true
		if !r.unreadable[e.Key] {
			r.log.Emit(events.EntryUnreadable, "entry", e.Key, "detail", e.Reason)
		}
	}
	r.unreadable = unreadable
}
