package holder

import (
	"strconv"
	"time"

	"peridotmoor.org/peridotmoor/internal/facts"
	"peridotmoor.org/peridotmoor/internal/fleet"
	"peridotmoor.org/peridotmoor/internal/link"
)

// historyInstance is an instance of a history.
type historyInstance struct {
	name    string
	domain  int
	process int
	elector *Elector
	client  *historyClient
	frozen  bool
	// storeCut is set while only this instance does not reach the store.
	storeCut  bool
	candidacy *historyCandidacy
	// tenure is set while the instance is the holder.
	tenure *historyTenure
	// follows is the tenure that the instance follows by the link.
	follows *historyTenure
	link    *link.Follower
}

// start begins a new process of the instance.
func (i *historyInstance) start(m *historyModel) {
	i.process++
	i.frozen, i.candidacy, i.tenure, i.follows, i.link = false, nil, nil, nil, nil
	i.client = &historyClient{m: m}
	i.elector = NewElector(Options{
		Store:    i.client,
		Self:     Identity{Name: i.name, Incarnation: strconv.Itoa(i.process), Address: "127.0.0.1:1"},
		Registry: facts.NewRegistry(nil, nil),
	})
}

// historyKey is the key of the holder, bound to a lease.
type historyKey struct {
	identity    Identity
	leaseEndsAt time.Time
	// lease is the ID of the lease, and revision that of the key.
	lease, revision uint64
	// tenure is set once the record is claimed.
	tenure *historyTenure
}

// historyCandidacy is an election that an instance takes part in.
type historyCandidacy struct {
	identity  Identity
	replaced  predecessor
	startedAt time.Time
	// key is set once the instance is elected, at electedAt. Its lease is of the era replaced.era.
	key       *historyKey
	electedAt time.Time
	records   *recordStore
}

// historyTenure is a tenure of a holder, which decides as in the product.
type historyTenure struct {
	*Coordinator
	identity    Identity
	host        *historyInstance
	key         *historyKey
	leaseEra    uint64
	entry       eraEntry
	ended       bool
	confirmedAt time.Time
	renewAt     time.Time
	// listing holds the servers as the holder read them last.
	listing []historyListed
}

// Current returns the listed incarnation of a server.
func (t *historyTenure) Current(_, name string) (fleet.Incarnation, bool) {
	for _, s := range t.listing {
		if s.Name == name {
			return s.Incarnation, true
		}
	}
	return fleet.Incarnation{}, false
}

// historyListed is a server in the list.
type historyListed struct {
	fleet.Incarnation
	usable bool
}

// keyEra returns the era in which the holder took or renewed its key last.
func (t *historyTenure) keyEra() uint64 {
	if t.entry.pending {
		return t.entry.era
	}
	return t.leaseEra
}
