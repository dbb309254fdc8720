package link

import (
	"math"
	"slices"
	"sync/atomic"
	"time"

	"peridotmoor.org/peridotmoor/internal/facts"
	"peridotmoor.org/peridotmoor/internal/fleet"
	"peridotmoor.org/peridotmoor/internal/link/linkpb"
	"peridotmoor.org/peridotmoor/internal/owners"
	"peridotmoor.org/peridotmoor/internal/store"
)

// notApplied is a sequence that no snapshot has.
const notApplied = math.MaxUint64

// FactsReceiver publishes the facts of one sender in a registry. It keeps everything that
// it has received, for two reasons: the sender sends only changes, and a registry with a
// newer read of its own rejects the sender's facts until they are the newest. Apply is
// not safe for concurrent use; EncodeReading is.
type FactsReceiver struct {
	registry *facts.Registry
	clock    *Clock
	// operatorSettings has no configuration until the sender has told one, and domainsTold is set
	// once it has told the domains that are taken out.
	operatorSettings fleet.OperatorSettings
	domainsTold      bool
	// servers holds the servers ordered by name. It is replaced, not changed.
	servers     []fleet.Server
	ownedRanges map[string][]owners.OwnedRange
	// seed is what the sender was told that this instance knows, or nil.
	seed *seed
	// broken is set once a message could not be decoded.
	broken bool
	// incoming holds the servers of a listing of which further parts are to come, and
	// incomingSince when the first of them arrived, or nil.
	incoming      []fleet.Server
	incomingSince atomic.Pointer[time.Time]
	// appliedSettingsSequence and appliedListingSequence are the sequences of the registry
	// after it accepted the current settings and servers, or notApplied.
	appliedSettingsSequence, appliedListingSequence atomic.Uint64
}

// NewFactsReceiver returns a receiver for the facts of one sender.
func NewFactsReceiver(registry *facts.Registry) *FactsReceiver {
	r := &FactsReceiver{registry: registry, clock: NewClock()}
	r.appliedSettingsSequence.Store(notApplied)
	r.appliedListingSequence.Store(notApplied)
	return r
}

// Known returns what the sender is to be told that this instance knows, so that it sends only
// what differs. It must be called before Apply.
func (r *FactsReceiver) Known() *linkpb.Known {
	snapshot := r.registry.Snapshot()
	r.seed = &seed{snapshot, EncodeKnown(snapshot)}
	if read, known := r.registry.LastReadSpan(); known {
		r.seed.known.ReadAgeUs = max(1, time.Since(read.Until).Microseconds())
		r.seed.known.UnbrokenUs = read.Until.Sub(read.Since).Microseconds()
	}
	return r.seed.known
}

// Clock returns the clock of the link over which the facts come.
func (r *FactsReceiver) Clock() *Clock {
	return r.clock
}

// DecodeTime returns the time that the sender has told, or the zero time if it told none.
func (r *FactsReceiver) DecodeTime(us int64) time.Time {
	return r.clock.decode(us)
}

// Apply publishes the facts of a message that arrived at now: the owners of keys, and
// what the sender read from the store at readAt, or the zero time if that is unknown.
//
// After a message that cannot be decoded all others are ignored, as they build on it. The
// instance reads the store itself then, and the next link begins anew.
func (r *FactsReceiver) Apply(f *linkpb.Facts, readAt, now time.Time) {
	f, err := unpack(f)
	if err != nil {
		r.abandon()
	}
	if r.broken {
		return
	}
	r.merge(f, now)
	if r.broken {
		return
	}
	if r.incomingSince.Load() == nil {
		r.seed = nil // the sender continues from it once only
	}
	MergeBackpressure(r.registry, f.Backpressure, now)
	if f.Ownership != nil || f.Resumed.GetOwners() {
		r.registry.UpdateOwners(r.ownedRanges, f.Epoch)
	}
	readBy := readAt
	if readBy.IsZero() {
		readBy = now
	}
	settings := decodeRevision(f.OrdersRevision, f.Era)
	r.applySettings(settings, readBy)
	r.applyListing(decodeRevision(f.ListingRevision, f.Era), readBy)
	if !readAt.IsZero() && confirms(f, r.registry.Snapshot().Era()) && r.hasDomainsOf(settings) {
		r.registry.ConfirmRead(readAt)
	}
}

// hasDomainsOf reports whether the registry has the domains that the sender knew to be taken out
// as of the given version, or as of a later one. A message without domains does not tell them:
// it was made for a registry that may have got others since.
func (r *FactsReceiver) hasDomainsOf(version store.Version) bool {
	snapshot := r.registry.Snapshot()
	return r.appliedSettingsSequence.Load() == snapshot.OperatorSettingsSequence || !snapshot.DomainsVersion.Before(version)
}

// applySettings publishes the operators' settings unless the registry has them. The sender may
// be new, and have read the store after it lost domains that this instance knows. While these
// are kept, the settings are published again with each message.
func (r *FactsReceiver) applySettings(version store.Version, readBy time.Time) {
	if r.appliedSettingsSequence.Load() == r.registry.Snapshot().OperatorSettingsSequence {
		return
	}
	settings := r.operatorSettings
	settings.Era, settings.Revision, settings.Source = version.Era, version.Revision, fleet.SourceLink
	settings.DomainsOut = r.registry.KeepKnownDomains(settings.DomainsOut, settings.Era, readBy)
	switch {
	case settings.Config != nil:
		r.registry.UpdateOperatorSettings(settings, readBy)
	case r.domainsTold:
		r.registry.UpdateDomainsOut(fleet.DomainsOut{Era: settings.Era, Revision: settings.Revision, Domains: settings.DomainsOut, Source: fleet.SourceLink}, readBy)
		return // the configuration may differ
	default:
		return
	}
	// Another reading may have been published since, which the sender does not know.
	snapshot := r.registry.Snapshot()
	if snapshot.OperatorSettings.Version() == version && slices.Equal(snapshot.OperatorSettings.DomainsOut, r.operatorSettings.DomainsOut) {
		r.appliedSettingsSequence.Store(snapshot.OperatorSettingsSequence)
	}
}

// applyListing is the equivalent of applySettings for the listing.
func (r *FactsReceiver) applyListing(version store.Version, readBy time.Time) {
	if len(r.servers) == 0 || r.appliedListingSequence.Load() == r.registry.Snapshot().ListingSequence {
		return
	}
	listing := fleet.Listing{Era: version.Era, Revision: version.Revision, Source: fleet.SourceLink, Servers: r.servers}
	listing = r.registry.KeepKnownServers(listing, readBy)
	if r.registry.UpdateListing(listing, readBy) && slices.Equal(listing.Servers, r.servers) {
		r.appliedListingSequence.Store(r.registry.Snapshot().ListingSequence)
	}
}

// Receiving reports whether parts of a listing are still to come at now, unless that takes so
// long that the instance should read the store itself.
func (r *FactsReceiver) Receiving(now time.Time) bool {
	since := r.incomingSince.Load()
	return since != nil && now.Sub(*since) < maxReceiving
}

// EncodeReading converts what this instance has read from the store, as a message to
// the sender: the parts that differ from what the sender sent, and always the domains that are
// taken out, as the sender may know others by now. It also returns when the store was read.
func (r *FactsReceiver) EncodeReading(now time.Time) (reading *linkpb.Facts, readAt time.Time) {
	snapshot, readAt := r.registry.ReadSnapshot()
	reading = EncodeFacts(snapshot, SentSequences{OperatorSettings: r.appliedSettingsSequence.Load(), Listing: r.appliedListingSequence.Load(), OwnedRanges: snapshot.OwnedRangesSequence, Backpressure: snapshot.BackpressureSequence}, nil, now)
	if reading.Orders == nil {
		reading.Orders = &linkpb.Orders{DomainsOut: snapshot.OperatorSettings.DomainsOut}
	}
	return reading, readAt
}

// abandon makes the receiver ignore all further messages, and the instance read the store itself.
func (r *FactsReceiver) abandon() {
	r.broken, r.incoming, r.seed = true, nil, nil
	r.incomingSince.Store(nil)
}

// merge applies the changes in a message to the facts received before.
func (r *FactsReceiver) merge(f *linkpb.Facts, now time.Time) {
	if f.Resumed != nil && r.seed != nil {
		r.resume(f)
	}
	if f.Orders != nil {
		if len(f.Orders.Config) > 0 {
			r.operatorSettings.Config = f.Orders.Config
		}
		r.operatorSettings.DomainsOut, r.domainsTold = f.Orders.DomainsOut, true
		r.appliedSettingsSequence.Store(notApplied)
	}
	if l := f.Listing; l != nil && l.More {
		if r.incoming = append(r.incoming, decodeServers(l.Servers, now)...); len(r.incoming) > maxIncoming {
			r.abandon()
			return
		}
		if r.incomingSince.Load() == nil {
			r.incomingSince.Store(&now)
		}
	} else if l != nil {
		if !l.Changes {
			r.servers = nil
		}
		r.servers = mergeServers(r.servers, append(r.incoming, decodeServers(l.Servers, now)...), l.Gone)
		r.incoming = nil
		r.incomingSince.Store(nil)
		r.appliedListingSequence.Store(notApplied)
	}
	if o := f.Ownership; o != nil && !f.Resumed.GetOwners() {
		received := decodeOwnership(o)
		if !o.Changes {
			r.ownedRanges = received
			return
		}
		next := map[string][]owners.OwnedRange{}
		for service, ranges := range r.ownedRanges {
			next[service] = owners.ApplyChanges(ranges, received[service])
		}
		for service, ranges := range received {
			if next[service] == nil {
				next[service] = ranges
			}
		}
		r.ownedRanges = next
	}
}

// resume continues from what this instance knew when it joined, as far as that is what the
// sender knows too.
func (r *FactsReceiver) resume(f *linkpb.Facts) {
	if f.Resumed.Orders {
		r.operatorSettings, r.domainsTold = r.seed.snapshot.OperatorSettings, true
	}
	if f.Resumed.Listing && len(r.seed.known.Listing) > 0 {
		r.servers = r.seed.servers(f.Resumed.ListingBuckets)
	}
	if f.Resumed.Owners && len(r.seed.known.Owners) > 0 {
		r.ownedRanges = r.seed.ownedRanges(f.Resumed.OwnerSegments, decodeOwnership(f.Ownership))
	}
	if f.Resumed.Orders || f.Resumed.Listing {
		r.appliedSettingsSequence.Store(notApplied)
		r.appliedListingSequence.Store(notApplied)
	}
}
