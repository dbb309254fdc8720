package facts

import (
	"bytes"
	"maps"
	"slices"
	"sync/atomic"
	"time"

	"peridotmoor.org/peridotmoor/internal/events"
	"peridotmoor.org/peridotmoor/internal/fleet"
	"peridotmoor.org/peridotmoor/internal/owners"
)

// Registry publishes the newest View. Readers load a pointer; writers replace the
// view as a whole and may race each other.
type Registry struct {
	snapshot atomic.Pointer[Snapshot]
	changed  atomic.Pointer[chan struct{}]
	decode   func([]byte) (*fleet.Config, error)
	log      *events.Logger
	// lastRefused is the last configuration that could not be used, for one log line each.
	lastRefused atomic.Pointer[[]byte]
	// readAt is when the store was last readAt for this board, here or elsewhere.
	readAt atomic.Pointer[time.Time]
}

// NewRegistry returns an empty board. decode reads the operators' configuration.
func NewRegistry(decode func([]byte) (*fleet.Config, error), log *events.Logger) *Registry {
	b := &Registry{decode: decode, log: log}
	b.snapshot.Store(&Snapshot{})
	first := make(chan struct{})
	b.changed.Store(&first)
	return b
}

// Snapshot returns the newest view.
func (b *Registry) Snapshot() *Snapshot {
	return b.snapshot.Load()
}

// Changed returns a channel that closes with the next change.
func (b *Registry) Changed() <-chan struct{} {
	return *b.changed.Load()
}

// ConfirmRead notes that the board holds what the store held at the given time.
func (b *Registry) ConfirmRead(at time.Time) {
	for {
		old := b.readAt.Load()
		if old != nil && !at.After(*old) || b.readAt.CompareAndSwap(old, &at) {
			return
		}
	}
}

// Age returns how long ago the store was read for this board, and false before that.
func (b *Registry) Age(now time.Time) (time.Duration, bool) {
	at := b.readAt.Load()
	if at == nil {
		return 0, false
	}
	return now.Sub(*at), true
}

// update publishes what next makes of the current view; nil means no change.
func (b *Registry) update(next func(*Snapshot) *Snapshot) bool {
	for {
		old := b.snapshot.Load()
		view := next(old)
		if view == nil {
			return false
		}
		if b.snapshot.CompareAndSwap(old, view) {
			fresh := make(chan struct{})
			close(*b.changed.Swap(&fresh))
			return true
		}
	}
}

// UpdateOperatorSettings takes over what the operators have written, as read at the given time.
// An unreadable or older configuration leaves the one in force. It returns false
// for an older reading than the board's.
func (b *Registry) UpdateOperatorSettings(o fleet.OperatorSettings, at time.Time) bool {
	view := b.Snapshot()
	config := view.Config
	if o.Config != nil && (config == nil || !bytes.Equal(o.Config, view.OperatorSettings.Config)) {
		read, err := b.decode(o.Config)
		switch {
		case err != nil:
			b.logRefusal(o.Config, err)
			o.Config = view.OperatorSettings.Config
		case config != nil && read.Version < config.Version:
			o.Config = view.OperatorSettings.Config
		default:
			config = read
		}
	} else if o.Config == nil {
		o.Config = view.OperatorSettings.Config
	}
	slices.Sort(o.DomainsOut)
	older := false
	b.update(func(v *Snapshot) *Snapshot {
		if older = o.Revision < v.OperatorSettings.Revision; older {
			return nil
		}
		if v.Config != nil && config != nil && config.Version < v.Config.Version {
			config, o.Config = v.Config, v.OperatorSettings.Config
		}
		if v.Config == config && slices.Equal(v.OperatorSettings.DomainsOut, o.DomainsOut) {
			return v.withSettingsRevision(o.Revision)
		}
		if v.Config != config {
			b.log.Emit(events.ConfigInForce, "settings_version", config.Version, "routes", config.RouteCount(), "read_ms_ago", time.Since(at).Milliseconds())
		}
		if !slices.Equal(v.OperatorSettings.DomainsOut, o.DomainsOut) {
			b.log.Emit(events.DomainsOut, "domains", o.DomainsOut, "read_ms_ago", time.Since(at).Milliseconds())
		}
		return v.withOperatorSettings(o, config)
	})
	return !older
}

func (b *Registry) logRefusal(text []byte, err error) {
	if old := b.lastRefused.Load(); old != nil && bytes.Equal(*old, text) {
		return
	}
	b.lastRefused.Store(&text)
	b.log.Emit(events.ConfigRefused, "detail", err.Error())
}

// UpdateListing takes over a listing read at the given time. It returns false for an
// older reading than the board's.
func (b *Registry) UpdateListing(listing fleet.Listing, at time.Time) bool {
	older := false
	b.update(func(v *Snapshot) *Snapshot {
		if older = listing.Revision < v.ListingRevision; older {
			return nil
		}
		if equalServers(v.Servers, listing.Servers, at) {
			return v.withListingRevision(listing.Revision)
		}
		return v.withListing(listing, at)
	})
	return !older
}

// coldEndTolerance is by how much the end of a cold start may differ between two
// readings that are taken as equal, as it is told with a delay.
const coldEndTolerance = 300 * time.Millisecond

func equalServers(old, next []fleet.Server, now time.Time) bool {
	return slices.EqualFunc(old, next, func(a, b fleet.Server) bool {
		if a.Cold(now) == b.Cold(now) && a.ColdUntil.Sub(b.ColdUntil).Abs() < coldEndTolerance || !a.Cold(now) && !b.Cold(now) {
			a.ColdUntil = b.ColdUntil
		}
		return a == b
	})
}

// UpdateOwners takes over the owners of keys as published by the holder of an epoch.
func (b *Registry) UpdateOwners(owned map[string][]owners.OwnedRange, epoch int64) {
	b.update(func(v *Snapshot) *Snapshot {
		if epoch < v.Epoch || epoch == v.Epoch && maps.EqualFunc(v.OwnedRanges, owned, slices.Equal[[]owners.OwnedRange]) {
			return nil
		}
		next := *v
		next.OwnedRanges, next.Epoch = owned, epoch
		next.OwnedRangesSequence++
		return &next
	})
}
