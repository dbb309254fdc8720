package holder

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"peridotmoor.org/peridotmoor/internal/events"
	"peridotmoor.org/peridotmoor/internal/facts"
	"peridotmoor.org/peridotmoor/internal/fleet"
	"peridotmoor.org/peridotmoor/internal/link"
	"peridotmoor.org/peridotmoor/internal/link/linkpb"
	"peridotmoor.org/peridotmoor/internal/placing"
	"peridotmoor.org/peridotmoor/internal/store"
)

// Elector takes part in the election of the holder for one instance: the instance
// either follows the current holder or becomes the holder itself.
type Elector struct {
	self        Identity
	store       store.EraStore
	registry    *facts.Registry
	reader      *facts.Reader
	orderSender OrderSender
	prober      fleet.Prober
	client      Client
	retryBudget placing.RetryBudget
	log         *events.Logger
	// onOrderWritten is the option, or nil.
	onOrderWritten func(time.Duration)
	// onEventDelay is the option, or nil.
	onEventDelay func(time.Duration)
	// joins counts the instances that have joined this one as the holder.
	joins atomic.Uint64
	// firstStart is set when the whole fleet starts.
	firstStart bool
	// processorShare is the share of a processor available on this machine.
	processorShare float64
	// suspendedFor is suspendedSinceBoot, but in tests.
	suspendedFor func() (time.Duration, bool)
	// elections counts the elections in which this process has been a candidate.
	elections   int64
	plannedStop plannedStop
	// firstEra is the first era of the store that this process has known, or nil. It is used
	// only by Run.
	firstEra *uint64
	// coordinator is set while this instance is the holder.
	coordinator atomic.Pointer[Coordinator]
	// current is the holder that this instance is or follows, or nil.
	current atomic.Pointer[Identity]
	// joinedTenure is the tenure that this process had itself or tried to join last, and
	// holderChanges how often that was another one than before. They are used only by Run.
	joinedTenure  string
	holderChanges uint64
	// followed is the link to the holder that this instance follows, or nil.
	followed atomic.Pointer[followedLink]
	// peers holds the addresses of some other instances, or nil.
	peers atomic.Pointer[[]string]
}

// NewElector returns an elector that does nothing until Run is called.
func NewElector(o Options) *Elector {
	return &Elector{
		self: o.Self, store: o.Store, registry: o.Registry, reader: o.Reader, orderSender: o.OrderSender, prober: o.Prober, client: o.Client,
		retryBudget: o.RetryBudget, log: o.Log, firstStart: o.FirstStart, processorShare: o.ProcessorShare, plannedStop: newPlannedStop(),
		onOrderWritten: o.OnOrderWritten, onEventDelay: o.OnEventDelay, suspendedFor: suspendedSinceBoot,
	}
}

// member describes this instance to the holder that it joins, and what it knows of the facts.
func (e *Elector) member(known *linkpb.Known) link.Member {
	return link.Member{Known: known, Instance: e.self.String(), HolderChanges: e.holderChanges, Domain: e.self.Domain, Address: e.self.Address, ProcessorShare: e.processorShare, Stopping: e.plannedStop.isStopping(), Ending: e.plannedStop.isEnding()}
}

// changeTenure counts a change of holder if this process last had or tried to join another
// tenure. Until it does so again it counts as a follower of this one only.
func (e *Elector) changeTenure(holder Identity) {
	if tenure := holder.tenureName(); tenure != e.joinedTenure {
		e.joinedTenure = tenure
		e.holderChanges++
	}
}

// Join adds a follower. It returns false unless this instance is the holder.
func (e *Elector) Join(f *link.Follower) bool {
	c := e.coordinator.Load()
	if c == nil || !c.Join(f) {
		return false
	}
	e.joins.Add(1)
	return true
}

// Receive handles a message from a follower.
func (e *Elector) Receive(f *link.Follower, up *linkpb.Up) {
	if c := e.coordinator.Load(); c != nil {
		c.Receive(f, up)
	}
}

// Leave removes a follower.
func (e *Elector) Leave(f *link.Follower) {
	if c := e.coordinator.Load(); c != nil {
		c.Leave(f)
	}
}

// Run follows the holder, or is the holder, until ctx is done.
func (e *Elector) Run(ctx context.Context) {
	if e.firstStart {
		sleep(ctx, candidacyDelay(e.processorShare, 0, firstElectionDelay, firstElectionJitter))
	}
	var lost Identity // the holder that this instance followed last
	for ctx.Err() == nil {
		era := e.store.Era()
		holder, entry, err := e.readHolder(ctx)
		if e.store.Era() != era {
			continue // what was read may be of either era
		}
		if err == nil || errors.Is(err, store.ErrNotFound) {
			e.noteFirstEra(era)
		}
		switch {
		case errors.Is(err, store.ErrNotFound):
			e.elect(ctx, predecessor{era: era})
		case errors.Is(err, errUnreadableHolder):
			e.replaceUnreadableHolder(ctx, era, entry.Revision, err)
		case err != nil:
			next, found := e.askPeers(ctx, lost)
			if !found {
				sleep(ctx, backoff())
				continue
			}
			lost = next
			e.follow(ctx, next, 0)
		case holder.sameProcess(e.self):
			// The key belongs to a lease that this process no longer renews. Wait until
			// the lease expires.
			sleep(ctx, storeRetryDelay)
		case holder.Name == e.self.Name:
			e.elect(ctx, predecessor{era: era, revision: entry.Revision, tenureName: holder.tenureName(), grantsBound: maxInheritedGrant})
		default:
			lost = holder
			e.follow(ctx, holder, entry.Revision)
		}
	}
}

func (e *Elector) noteFirstEra(era uint64) {
	if e.firstEra == nil {
		e.firstEra = &era
	}
}

// isFirstFleet reports whether no holder can have been elected before the given era: the fleet
// as a whole starts for the first time, and neither has the store come back from a copy since
// this process knows it nor has it done so more than once before.
func (e *Elector) isFirstFleet(era uint64) bool {
	return e.firstStart && era <= 1 && e.firstEra != nil && *e.firstEra == era && e.registry.Snapshot().Epoch == 0
}
