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

// notApplied is a sequence that no snapshot has.
const notApplied = math.MaxUint64

// FactsReceiver publishes the facts of one sender in a registry. It keeps everything that
// it has received, for two reasons: the sender sends only changes, and a registry with a
// newer read of its own rejects the sender's facts until they are the newest. Apply is
// not safe for concurrent use; EncodeReading is.
type FactsReceiver struct {
	registry         *facts.Registry
	clock            *Clock
	operatorSettings fleet.OperatorSettings
	servers          map[string]fleet.Server
	ownedRanges      map[string][]owners.OwnedRange
	// appliedSettingsSequence and appliedListingSequence are the sequences of the registry
	// after it accepted the current settings and servers, or notApplied.
	appliedSettingsSequence, appliedListingSequence atomic.Uint64
	// keepsKnown is set if the sender may have read what the store has lost without having
	// known it before.
	keepsKnown bool
}

// NewFactsReceiver returns a receiver for the facts of one sender.
func NewFactsReceiver(registry *facts.Registry) *FactsReceiver {
	r := &FactsReceiver{registry: registry, clock: NewClock()}
	r.appliedSettingsSequence.Store(notApplied)
	r.appliedListingSequence.Store(notApplied)
	return r
}

// NewReadingReceiver returns a receiver for one reading of the store by a follower. What the
// store may have lost stays as the registry knows it.
func NewReadingReceiver(registry *facts.Registry) *FactsReceiver {
	r := NewFactsReceiver(registry)
	r.keepsKnown = true
	return r
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
func (r *FactsReceiver) Apply(f *linkpb.Facts, readAt, now time.Time) {
	r.merge(f, now)
	MergeBackpressure(r.registry, f.Backpressure, now)
	if f.Ownership != nil {
		r.registry.UpdateOwners(r.ownedRanges, f.Epoch)
	}
	readBy := readAt
	if readBy.IsZero() {
		readBy = now
	}
	if r.operatorSettings.Config != nil && r.appliedSettingsSequence.Load() != r.registry.Snapshot().OperatorSettingsSequence {
		operatorSettings := r.operatorSettings
		version := decodeRevision(f.OrdersRevision, f.Era)
		operatorSettings.Era, operatorSettings.Revision = version.Era, version.Revision
		if r.keepsKnown {
			operatorSettings = r.registry.KeepKnownDomains(operatorSettings, readBy)
		}
		if r.registry.UpdateOperatorSettings(operatorSettings, readBy) {
			r.appliedSettingsSequence.Store(r.registry.Snapshot().OperatorSettingsSequence)
		}
	}
	if len(r.servers) > 0 && r.appliedListingSequence.Load() != r.registry.Snapshot().ListingSequence {
		version := decodeRevision(f.ListingRevision, f.Era)
		listing := fleet.Listing{Era: version.Era, Revision: version.Revision, Source: fleet.SourceLink, Servers: r.sortedServers()}
		if r.keepsKnown {
			listing = r.registry.KeepKnownServers(listing, readBy)
		}
		if r.registry.UpdateListing(listing, readBy) {
			r.appliedListingSequence.Store(r.registry.Snapshot().ListingSequence)
		}
	}
	if !readAt.IsZero() && confirms(f, r.registry.Snapshot().Era()) {
		r.registry.ConfirmRead(readAt)
	}
}

// EncodeReading converts what this instance has read from the store, as a message to
// the sender: the parts that differ from what the sender sent. It also returns when the
// store was read.
func (r *FactsReceiver) EncodeReading(now time.Time) (reading *linkpb.Facts, readAt time.Time) {
	snapshot, readAt := r.registry.ReadSnapshot()
	return EncodeFacts(snapshot, SentSequences{OperatorSettings: r.appliedSettingsSequence.Load(), Listing: r.appliedListingSequence.Load(), OwnedRanges: snapshot.OwnedRangesSequence, Backpressure: snapshot.BackpressureSequence}, nil, now), readAt
}

// merge applies the changes in a message to the facts received before.
func (r *FactsReceiver) merge(f *linkpb.Facts, now time.Time) {
	if f.Orders != nil {
		r.operatorSettings = fleet.OperatorSettings{Config: f.Orders.Config, DomainsOut: f.Orders.DomainsOut}
		r.appliedSettingsSequence.Store(notApplied)
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

// sortedServers returns the servers in the order of their names, as the store lists them.
func (r *FactsReceiver) sortedServers() []fleet.Server {
	out := make([]fleet.Server, 0, len(r.servers))
	for _, s := range r.servers {
		out = append(out, s)
	}
	slices.SortFunc(out, func(a, b fleet.Server) int { return strings.Compare(a.Name, b.Name) })
	return out
}
