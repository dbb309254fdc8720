package facts

import (
	"bytes"
	"maps"
	"slices"
	"sync/atomic"
	"time"

	"peridotmoor.org/peridotmoor/internal/crashes"
	"peridotmoor.org/peridotmoor/internal/events"
	"peridotmoor.org/peridotmoor/internal/fleet"
	"peridotmoor.org/peridotmoor/internal/owners"
)

// Registry publishes the current Snapshot. Readers load a pointer. Writers replace
// the whole snapshot and may run concurrently.
type Registry struct {
	snapshot atomic.Pointer[Snapshot]
	changed  atomic.Pointer[chan struct{}]
	decode   func([]byte) (*fleet.Config, error)
	log      *events.Logger
	// lastRefused is the last configuration that could not be decoded, so that each one
	// is logged once.
	lastRefused atomic.Pointer[[]byte]
	// read is the span that ends when the store was last read for this registry, by this
	// instance or by another.
	read atomic.Pointer[ReadSpan]
	// domainsReadAt is when the domains that are taken out were last read for this registry, or
	// nil. It is no earlier than the end of read.
	domainsReadAt atomic.Pointer[time.Time]
	// eraStart is the latest era of the store of which there are facts, or nil.
	eraStart atomic.Pointer[eraStart]
	// crashes remembers the requests that may have crashed servers.
	crashes *crashes.Memory
}

// NewRegistry returns an empty registry. decode decodes the operators' configuration.
func NewRegistry(decode func([]byte) (*fleet.Config, error), log *events.Logger) *Registry {
	r := &Registry{decode: decode, log: log, crashes: crashes.NewMemory()}
	r.snapshot.Store(&Snapshot{})
	first := make(chan struct{})
	r.changed.Store(&first)
	return r
}

// Crashes returns the memory of the requests that may have crashed servers.
func (r *Registry) Crashes() *crashes.Memory {
	return r.crashes
}

// Snapshot returns the current snapshot.
func (r *Registry) Snapshot() *Snapshot {
	return r.snapshot.Load()
}

// Changed returns a channel that is closed at the next change.
func (r *Registry) Changed() <-chan struct{} {
	return *r.changed.Load()
}

// update publishes the snapshot that next derives from the current one. next may be
// called more than once and returns nil for no change.
func (r *Registry) update(next func(*Snapshot) *Snapshot) bool {
	for {
		old := r.snapshot.Load()
		snapshot := next(old)
		if snapshot == nil {
			return false
		}
		if r.snapshot.CompareAndSwap(old, snapshot) {
			fresh := make(chan struct{})
			close(*r.changed.Swap(&fresh))
			return true
		}
	}
}

// UpdateOperatorSettings applies the operators' settings, as read at the given time.
// An older configuration, or one that cannot be decoded, does not replace the
// current one. It returns false if the reading is older than the registry's.
func (r *Registry) UpdateOperatorSettings(settings fleet.OperatorSettings, at time.Time) bool {
	r.noteEra(settings.Era, at)
	snapshot := r.Snapshot()
	config := snapshot.Config
	if settings.Config != nil && (config == nil || !bytes.Equal(settings.Config, snapshot.OperatorSettings.Config)) {
		decoded, err := r.decode(settings.Config)
		switch {
		case err != nil:
			r.logRefusal(settings.Config, err)
			settings.Config = snapshot.OperatorSettings.Config
		case config != nil && decoded.Version < config.Version:
			settings.Config = snapshot.OperatorSettings.Config
		default:
			config = decoded
		}
	} else if settings.Config == nil {
		settings.Config = snapshot.OperatorSettings.Config
	}
	slices.Sort(settings.DomainsOut)
	older := false
	r.update(func(s *Snapshot) *Snapshot {
		if older = settings.Version().Before(s.OperatorSettings.Version()); older {
			return nil
		}
		if s.Config != nil && config != nil && config.Version < s.Config.Version {
			config, settings.Config = s.Config, s.OperatorSettings.Config
		}
		if settings.Version().Before(s.DomainsVersion) {
			settings.DomainsOut = s.OperatorSettings.DomainsOut
		}
		if s.Config == config && slices.Equal(s.OperatorSettings.DomainsOut, settings.DomainsOut) {
			return s.withSettingsVersion(settings.Version())
		}
		if s.Config != config {
			r.log.Emit(events.ConfigInForce, "settings_version", config.Version, "routes", config.RouteCount(), "read_ms_ago", time.Since(at).Milliseconds())
		}
		r.logDomainsOut(s, settings.DomainsOut, settings.Revision, at, settings.Source)
		return s.withOperatorSettings(settings, config)
	})
	return !older
}

// UpdateDomainsOut applies the domains that are taken out, as read at the given time. It returns
// false if the reading is older than the registry's.
func (r *Registry) UpdateDomainsOut(d fleet.DomainsOut, at time.Time) bool {
	r.noteEra(d.Era, at)
	domains := slices.Sorted(slices.Values(d.Domains))
	older := false
	r.update(func(s *Snapshot) *Snapshot {
		if older = d.Version().Before(s.DomainsVersion); older {
			return nil
		}
		r.logDomainsOut(s, domains, d.Revision, at, d.Source)
		return s.withDomainsOut(domains, d.Version())
	})
	return !older
}

// logDomainsOut logs a reading of the domains taken out that differs from those of a snapshot.
func (r *Registry) logDomainsOut(s *Snapshot, domains []string, revision uint64, at time.Time, source fleet.ReadingSource) {
	if !slices.Equal(s.OperatorSettings.DomainsOut, domains) {
		r.log.Emit(events.DomainsTakenOut, "domains", domains, "revision", revision, "read_ms_ago", time.Since(at).Milliseconds(), "source", source.String())
	}
}

func (r *Registry) logRefusal(text []byte, err error) {
	if old := r.lastRefused.Load(); old != nil && bytes.Equal(*old, text) {
		return
	}
	r.lastRefused.Store(&text)
	r.log.Emit(events.ConfigRefused, "detail", err.Error())
}

// UpdateListing applies a listing read at the given time. It returns false if the
// reading is older than the registry's.
func (r *Registry) UpdateListing(listing fleet.Listing, at time.Time) bool {
	r.noteEra(listing.Era, at)
	older := false
	var old, next *Snapshot
	r.update(func(s *Snapshot) *Snapshot {
		old, next = s, nil
		if older = listing.Version().Before(s.ListingVersion); older {
			return nil
		}
		if equalServers(s.Servers, listing.Servers, at) {
			return s.withListingVersion(listing.Version())
		}
		next = s.withListing(listing, at)
		return next
	})
	if next != nil {
		r.logLeaving(old, next, listing.Source, at)
	}
	return !older
}

// logLeaving logs the servers that a listing, read at the given time, ends new work for.
func (r *Registry) logLeaving(old, next *Snapshot, source fleet.ReadingSource, at time.Time) {
	var names []string
	for _, s := range old.Servers {
		if current := next.byName[s.Name]; !s.Leaving && (current == nil || current.Incarnation != s.Incarnation || current.Leaving) {
			names = append(names, s.Name)
		}
	}
	if len(names) > 0 {
		r.log.Emit(events.ServersLeaving, "servers", names, "revision", next.ListingVersion.Revision, "read_ms_ago", time.Since(at).Milliseconds(), "source", source.String())
	}
}

// coldEndTolerance is the difference in the end of a cold start up to which two
// readings count as equal. Servers report the remaining time, which arrives with a
// delay.
const coldEndTolerance = 300 * time.Millisecond

func equalServers(old, next []fleet.Server, now time.Time) bool {
	return slices.EqualFunc(old, next, func(a, b fleet.Server) bool {
		if a.Cold(now) == b.Cold(now) && a.ColdUntil.Sub(b.ColdUntil).Abs() < coldEndTolerance || !a.Cold(now) && !b.Cold(now) {
			a.ColdUntil = b.ColdUntil
		}
		return a == b
	})
}

// UpdateOwners applies the owners of keys as published by the holder of an epoch.
func (r *Registry) UpdateOwners(owned map[string][]owners.OwnedRange, epoch int64) {
	r.update(func(s *Snapshot) *Snapshot {
		if epoch < s.Epoch || epoch == s.Epoch && maps.EqualFunc(s.OwnedRanges, owned, slices.Equal[[]owners.OwnedRange]) {
			return nil
		}
		next := *s
		next.OwnedRanges, next.Epoch = owned, epoch
		next.OwnedRangesSequence++
		return &next
	})
}
