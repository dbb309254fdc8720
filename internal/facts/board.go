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

// Board publishes the newest View. Readers load a pointer; writers replace the
// view as a whole and may race each other.
type Board struct {
	view    atomic.Pointer[View]
	changed atomic.Pointer[chan struct{}]
	decode  func([]byte) (*fleet.Config, error)
	log     *events.Logger
	// refused is the last configuration that could not be used, for one log line each.
	refused atomic.Pointer[[]byte]
	// read is when the store was last read for this board, here or elsewhere.
	read atomic.Pointer[time.Time]
}

// NewBoard returns an empty board. decode reads the operators' configuration.
func NewBoard(decode func([]byte) (*fleet.Config, error), log *events.Logger) *Board {
	b := &Board{decode: decode, log: log}
	b.view.Store(&View{})
	first := make(chan struct{})
	b.changed.Store(&first)
	return b
}

// View returns the newest view.
func (b *Board) View() *View {
	return b.view.Load()
}

// Changed returns a channel that closes with the next change.
func (b *Board) Changed() <-chan struct{} {
	return *b.changed.Load()
}

// Confirm notes that the board holds what the store held at the given time.
func (b *Board) Confirm(at time.Time) {
	for {
		old := b.read.Load()
		if old != nil && !at.After(*old) || b.read.CompareAndSwap(old, &at) {
			return
		}
	}
}

// Age returns how long ago the store was read for this board, and false before that.
func (b *Board) Age(now time.Time) (time.Duration, bool) {
	at := b.read.Load()
	if at == nil {
		return 0, false
	}
	return now.Sub(*at), true
}

// replace publishes what next makes of the current view; nil means no change.
func (b *Board) replace(next func(*View) *View) bool {
	for {
		old := b.view.Load()
		view := next(old)
		if view == nil {
			return false
		}
		if b.view.CompareAndSwap(old, view) {
			fresh := make(chan struct{})
			close(*b.changed.Swap(&fresh))
			return true
		}
	}
}

// Orders takes over what the operators have written, as read at the given time.
// An unreadable or older configuration leaves the one in force. It returns false
// for an older reading than the board's.
func (b *Board) Orders(o fleet.Orders, at time.Time) bool {
	view := b.View()
	config := view.Config
	if o.Config != nil && (config == nil || !bytes.Equal(o.Config, view.Orders.Config)) {
		read, err := b.decode(o.Config)
		switch {
		case err != nil:
			b.refuse(o.Config, err)
			o.Config = view.Orders.Config
		case config != nil && read.Version < config.Version:
			o.Config = view.Orders.Config
		default:
			config = read
		}
	} else if o.Config == nil {
		o.Config = view.Orders.Config
	}
	slices.Sort(o.DomainsOut)
	older := false
	b.replace(func(v *View) *View {
		if older = o.Revision < v.Orders.Revision; older {
			return nil
		}
		if v.Config != nil && config != nil && config.Version < v.Config.Version {
			config, o.Config = v.Config, v.Orders.Config
		}
		if v.Config == config && slices.Equal(v.Orders.DomainsOut, o.DomainsOut) {
			return v.confirmOrders(o.Revision)
		}
		if v.Config != config {
			b.log.Emit(events.ConfigInForce, "settings_version", config.Version, "routes", config.Routes(), "read_ms_ago", time.Since(at).Milliseconds())
		}
		if !slices.Equal(v.Orders.DomainsOut, o.DomainsOut) {
			b.log.Emit(events.DomainsTakenOut, "domains", o.DomainsOut, "read_ms_ago", time.Since(at).Milliseconds())
		}
		return v.withOrders(o, config)
	})
	return !older
}

func (b *Board) refuse(text []byte, err error) {
	if old := b.refused.Load(); old != nil && bytes.Equal(*old, text) {
		return
	}
	b.refused.Store(&text)
	b.log.Emit(events.ConfigRefused, "detail", err.Error())
}

// Listed takes over a listing read at the given time. It returns false for an
// older reading than the board's.
func (b *Board) Listed(listing fleet.Listing, at time.Time) bool {
	older := false
	b.replace(func(v *View) *View {
		if older = listing.Revision < v.ListingRevision; older {
			return nil
		}
		if sameServers(v.Servers, listing.Servers, at) {
			return v.confirmListing(listing.Revision)
		}
		return v.withListing(listing, at)
	})
	return !older
}

// coldStep is by how much the end of a cold start may differ between two
// readings that are taken as equal, as it is told with a delay.
const coldStep = 300 * time.Millisecond

func sameServers(old, next []fleet.Server, now time.Time) bool {
	return slices.EqualFunc(old, next, func(a, b fleet.Server) bool {
		if a.Cold(now) == b.Cold(now) && a.ColdUntil.Sub(b.ColdUntil).Abs() < coldStep || !a.Cold(now) && !b.Cold(now) {
			a.ColdUntil = b.ColdUntil
		}
		return a == b
	})
}

// Owned takes over the owners of keys as published by the holder of an epoch.
func (b *Board) Owned(owned map[string][]owners.View, epoch int64) {
	b.replace(func(v *View) *View {
		if epoch < v.Epoch || epoch == v.Epoch && maps.EqualFunc(v.Owned, owned, slices.Equal[[]owners.View]) {
			return nil
		}
		next := *v
		next.Owned, next.Epoch = owned, epoch
		next.OwnedSequence++
		return &next
	})
}
