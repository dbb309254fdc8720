package facts

import (
	"slices"
	"sort"
	"time"

	"peridotmoor.org/peridotmoor/internal/backpressure"
	"peridotmoor.org/peridotmoor/internal/fleet"
	"peridotmoor.org/peridotmoor/internal/owners"
	"peridotmoor.org/peridotmoor/internal/store"
)

// Snapshot is the facts at one point in time. It is immutable.
type Snapshot struct {
	// OperatorSettings is what the operators have written. Config is the decoded
	// configuration, or nil if there is none yet.
	OperatorSettings fleet.OperatorSettings
	Config           *fleet.Config
	// DomainsVersion is the version of the store as of which OperatorSettings.DomainsOut is known.
	// It is later than that of the settings if the domains were read by themselves since.
	DomainsVersion store.Version
	// Servers holds the listed servers as of the version ListingVersion of the store.
	Servers        []fleet.Server
	ListingVersion store.Version
	// OwnedRanges holds the ranges of the keyed services, ordered by key.
	OwnedRanges map[string][]owners.OwnedRange
	// Epoch is the epoch of the holder that published OwnedRanges.
	Epoch int64
	// Backpressure is what servers ask of the fleet in their responses.
	Backpressure backpressure.States
	// Each sequence number changes with the part of the snapshot that it is named after,
	// as far as other instances need to know it.
	OperatorSettingsSequence, ListingSequence, OwnedRangesSequence, BackpressureSequence uint64
	// LeavingSequence changes when a server says that it is leaving.
	LeavingSequence uint64

	byName map[string]*fleet.Server
	// former holds servers that are no longer listed. They may still run and be sent orders.
	former     map[fleet.Incarnation]formerServer
	domainsOut map[string]bool
}

// Era returns the latest era of the store from which the snapshot has facts.
func (s *Snapshot) Era() uint64 {
	return max(s.OperatorSettings.Era, s.DomainsVersion.Era, s.ListingVersion.Era)
}

// Server returns the listed server of that name, or nil.
func (s *Snapshot) Server(name string) *fleet.Server {
	return s.byName[name]
}

// FindIncarnation returns the server of an incarnation that is or recently was
// listed, or nil.
func (s *Snapshot) FindIncarnation(incarnation fleet.Incarnation) *fleet.Server {
	if server := s.byName[incarnation.Name]; server != nil && server.Incarnation == incarnation {
		return server
	}
	if f, ok := s.former[incarnation]; ok {
		return &f.server
	}
	return nil
}

// MaySend reports whether this instance may send the server a request at now: it is
// usable and has not asked this instance for a pause.
func (s *Snapshot) MaySend(server *fleet.Server, now time.Time) bool {
	return s.ObstacleOf(server, now) == ObstacleNone
}

// Usable reports whether the server may get new work.
func (s *Snapshot) Usable(server *fleet.Server) bool {
	return s.lastingObstacleOf(server) == ObstacleNone
}

// ObstacleOf returns why this instance may not send the server a request at now.
func (s *Snapshot) ObstacleOf(server *fleet.Server, now time.Time) Obstacle {
	if o := s.lastingObstacleOf(server); o != ObstacleNone {
		return o
	}
	if s.Backpressure.Of(server.Incarnation).Paused(now) {
		return ObstaclePaused
	}
	return ObstacleNone
}

// lastingObstacleOf returns why the server may not get new work from any instance.
func (s *Snapshot) lastingObstacleOf(server *fleet.Server) Obstacle {
	switch {
	case server.Leaving, s.Backpressure.Of(server.Incarnation).Leaving:
		return ObstacleLeaving
	case s.domainsOut[server.Domain]:
		return ObstacleDomainOut
	}
	return ObstacleNone
}

// Owner returns the owner of a key, and whether it holds the key already.
func (s *Snapshot) Owner(service string, key int) (string, bool) {
	ranges := s.OwnedRanges[service]
	i := sort.Search(len(ranges), func(i int) bool { return ranges[i].To >= key })
	if i == len(ranges) || !ranges[i].Contains(key) {
		return "", false
	}
	return ranges[i].Owner, ranges[i].Held
}

// Complete reports whether the snapshot suffices to serve the requests of all routes.
func (s *Snapshot) Complete() bool {
	if s.Config == nil || len(s.Servers) == 0 {
		return false
	}
	for _, name := range s.Config.KeyedServices() {
		if len(s.OwnedRanges[name]) == 0 {
			return false
		}
	}
	return true
}

// withSettingsVersion returns a snapshot with the same operator settings as of another
// version of the store, or nil if they have that version already.
func (s *Snapshot) withSettingsVersion(version store.Version) *Snapshot {
	if version == s.OperatorSettings.Version() {
		return nil
	}
	next := *s
	next.OperatorSettings.Era, next.OperatorSettings.Revision = version.Era, version.Revision
	if next.DomainsVersion.Before(version) {
		next.DomainsVersion = version
	}
	return &next
}

// withDomainsOut returns a snapshot with the domains taken out as of a version of the store, or
// nil if it has them as of that version already.
func (s *Snapshot) withDomainsOut(domains []string, version store.Version) *Snapshot {
	same := slices.Equal(domains, s.OperatorSettings.DomainsOut)
	if same && version == s.DomainsVersion {
		return nil
	}
	next := *s
	next.DomainsVersion = version
	if !same {
		next.setDomainsOut(domains)
		next.OperatorSettingsSequence++
	}
	return &next
}

func (s *Snapshot) setDomainsOut(domains []string) {
	s.OperatorSettings.DomainsOut = domains
	s.domainsOut = make(map[string]bool, len(domains))
	for _, d := range domains {
		s.domainsOut[d] = true
	}
}

// withListingVersion is the equivalent of withSettingsVersion for the listing.
func (s *Snapshot) withListingVersion(version store.Version) *Snapshot {
	if version == s.ListingVersion {
		return nil
	}
	next := *s
	next.ListingVersion = version
	return &next
}

func (s *Snapshot) withOperatorSettings(settings fleet.OperatorSettings, config *fleet.Config) *Snapshot {
	next := *s
	next.OperatorSettings, next.Config = settings, config
	next.OperatorSettingsSequence++
	next.setDomainsOut(settings.DomainsOut)
	if next.DomainsVersion.Before(settings.Version()) {
		next.DomainsVersion = settings.Version()
	}
	return &next
}

// withBackpressure returns a snapshot with other states, which differ for one server.
func (s *Snapshot) withBackpressure(states backpressure.States, server fleet.Incarnation) *Snapshot {
	old, state := s.Backpressure.Of(server), states.Of(server)
	next := *s
	next.Backpressure = states
	if !state.SameForOthers(old) {
		next.BackpressureSequence++
	}
	if state.Leaving != old.Leaving {
		next.LeavingSequence++
	}
	return &next
}

func (s *Snapshot) withListing(listing fleet.Listing, at time.Time) *Snapshot {
	next := *s
	next.Servers, next.ListingVersion = listing.Servers, listing.Version()
	next.ListingSequence++
	next.byName = make(map[string]*fleet.Server, len(listing.Servers))
	for i := range listing.Servers {
		next.byName[listing.Servers[i].Name] = &listing.Servers[i]
	}
	next.former = map[fleet.Incarnation]formerServer{}
	for incarnation, f := range s.former {
		if at.Sub(f.since) < formerServerRetention {
			next.former[incarnation] = f
		}
	}
	for _, server := range s.Servers {
		if current := next.byName[server.Name]; current == nil || current.Incarnation != server.Incarnation {
			next.former[server.Incarnation] = formerServer{server: server, since: at}
		}
	}
	next.Backpressure = s.Backpressure.Retain(func(server fleet.Incarnation, state backpressure.State) bool {
		return next.keepsBackpressure(s, server, state, at)
	})
	return &next
}

// keepsBackpressure reports whether what an incarnation asks is still known in the
// listing s, read at the given time after old. A server that does not report its start
// and was not listed before is a new incarnation.
func (s *Snapshot) keepsBackpressure(old *Snapshot, server fleet.Incarnation, state backpressure.State, at time.Time) bool {
	if server.StartMS == 0 && s.byName[server.Name] != nil && old.byName[server.Name] == nil {
		return false
	}
	return s.FindIncarnation(server) != nil || at.Sub(state.ChangedAt) < formerServerRetention
}
