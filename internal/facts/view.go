package facts

import (
	"sort"
	"time"

	"peridotmoor.org/peridotmoor/internal/fleet"
	"peridotmoor.org/peridotmoor/internal/owners"
)

// Snapshot is one state of the facts. It is immutable.
type Snapshot struct {
	// OperatorSettings is what the operators have written; Config is its decoded form or nil.
	OperatorSettings fleet.OperatorSettings
	Config           *fleet.Config
	// Servers holds the listed servers; ListingRevision is the revision of the
	// store from which on they hold.
	Servers         []fleet.Server
	ListingRevision uint64
	// OwnedRanges holds the ranges of the services divided by key, in the order of their keys.
	OwnedRanges map[string][]owners.OwnedRange
	// Epoch is the epoch of the holder that published Owned.
	Epoch int64
	// The sequences change with their parts.
	OperatorSettingsSequence, ListingSequence, OwnedRangesSequence uint64

	byName map[string]*fleet.Server
	// former holds servers that are listed no more, for orders to those that live on.
	former     map[fleet.Incarnation]formerServer
	domainsOut map[string]bool
}

// Server returns the listed server of that name, or nil.
func (v *Snapshot) Server(name string) *fleet.Server {
	return v.byName[name]
}

// FindIncarnation returns the life of a server that is or was listed, or nil.
func (v *Snapshot) FindIncarnation(life fleet.Incarnation) *fleet.Server {
	if s := v.byName[life.Name]; s != nil && s.Incarnation == life {
		return s
	}
	if f, ok := v.former[life]; ok {
		return &f.server
	}
	return nil
}

// Usable reports whether the server may get new work.
func (v *Snapshot) Usable(s *fleet.Server) bool {
	return !s.Leaving && !v.domainsOut[s.Domain]
}

// Owner returns the owner of a key, and false while it has none.
func (v *Snapshot) Owner(service string, key int) (string, bool) {
	ranges := v.OwnedRanges[service]
	i := sort.Search(len(ranges), func(i int) bool { return ranges[i].To >= key })
	if i == len(ranges) || !ranges[i].Contains(key) {
		return "", false
	}
	return ranges[i].Owner, ranges[i].Held
}

// Complete reports whether requests of all routes can be served.
func (v *Snapshot) Complete() bool {
	if v.Config == nil || len(v.Servers) == 0 {
		return false
	}
	for _, name := range v.Config.KeyedServices() {
		if len(v.OwnedRanges[name]) == 0 {
			return false
		}
	}
	return true
}

// withSettingsRevision returns a view whose orders hold from a later revision on, or nil
// if they do already.
func (v *Snapshot) withSettingsRevision(revision uint64) *Snapshot {
	if revision == v.OperatorSettings.Revision {
		return nil
	}
	next := *v
	next.OperatorSettings.Revision = revision
	return &next
}

// withListingRevision is confirmOrders for the listing.
func (v *Snapshot) withListingRevision(revision uint64) *Snapshot {
	if revision == v.ListingRevision {
		return nil
	}
	next := *v
	next.ListingRevision = revision
	return &next
}

func (v *Snapshot) withOperatorSettings(o fleet.OperatorSettings, config *fleet.Config) *Snapshot {
	next := *v
	next.OperatorSettings, next.Config = o, config
	next.OperatorSettingsSequence++
	next.domainsOut = map[string]bool{}
	for _, d := range o.DomainsOut {
		next.domainsOut[d] = true
	}
	return &next
}

func (v *Snapshot) withListing(listing fleet.Listing, at time.Time) *Snapshot {
	next := *v
	next.Servers, next.ListingRevision = listing.Servers, listing.Revision
	next.ListingSequence++
	next.byName = make(map[string]*fleet.Server, len(listing.Servers))
	for i := range listing.Servers {
		next.byName[listing.Servers[i].Name] = &listing.Servers[i]
	}
	next.former = map[fleet.Incarnation]formerServer{}
	for life, f := range v.former {
		if at.Sub(f.since) < formerServerRetention {
			next.former[life] = f
		}
	}
	for _, s := range v.Servers {
		if now := next.byName[s.Name]; now == nil || now.Incarnation != s.Incarnation {
			next.former[s.Incarnation] = formerServer{server: s, since: at}
		}
	}
	return &next
}
