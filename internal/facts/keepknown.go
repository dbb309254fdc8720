package facts

import (
	"slices"
	"time"

	"peridotmoor.org/peridotmoor/internal/events"
	"peridotmoor.org/peridotmoor/internal/fleet"
)

// noteEra notes an era from which the registry gets facts that were read at the given time.
func (r *Registry) noteEra(era uint64, at time.Time) {
	for {
		old := r.eraStart.Load()
		next := &eraStart{era: era}
		if old != nil {
			if era <= old.era {
				return
			}
			next.at = at
		}
		if !r.eraStart.CompareAndSwap(old, next) {
			continue
		}
		if old != nil {
			r.log.Emit(events.StoreEraBegan, "era", era, "earlier_era", old.era)
		}
		return
	}
}

// isRewriting reports whether a reading of the given era and time may lack what the store has
// lost with the era before, because its writers have not written it again yet.
func (r *Registry) isRewriting(era uint64, at time.Time) bool {
	r.noteEra(era, at)
	start := r.eraStart.Load()
	return start.era == era && !start.at.IsZero() && at.Sub(start.at) < rewritePeriod
}

// KeepKnownDomains adds the failure domains that are known to be taken out to those of a reading
// of the store, made in the given era at the given time, that may have lost them. The
// configuration does not go back in any case.
func (r *Registry) KeepKnownDomains(domains []string, era uint64, at time.Time) []string {
	if !r.isRewriting(era, at) {
		return domains
	}
	domains = slices.Clone(domains)
	for _, domain := range r.Snapshot().OperatorSettings.DomainsOut {
		if !slices.Contains(domains, domain) {
			domains = append(domains, domain)
		}
	}
	return domains
}

// KeepKnownServers keeps the servers as they are known in a reading of the store, made at the
// given time, that may have lost what they wrote: those that were listed, later incarnations,
// and which of them leave. Servers that were no longer listed do not come back.
func (r *Registry) KeepKnownServers(listing fleet.Listing, at time.Time) fleet.Listing {
	if !r.isRewriting(listing.Era, at) {
		return listing
	}
	known := r.Snapshot()
	var kept []fleet.Server
	for _, server := range listing.Servers {
		current := known.byName[server.Name]
		_, former := known.former[server.Incarnation]
		switch {
		case current == nil && former:
			continue
		case current != nil && current.StartMS > server.StartMS:
			server = *current
		case current != nil && current.Incarnation == server.Incarnation:
			server.Leaving = server.Leaving || current.Leaving
		}
		kept = append(kept, server)
	}
	listing.Servers = RetainMissing(known.Servers, kept)
	return listing
}
