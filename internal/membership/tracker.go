package membership

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"peridotmoor.org/peridotmoor/internal/authority"
	"peridotmoor.org/peridotmoor/internal/events"
	"peridotmoor.org/peridotmoor/internal/instances"
)

const (
	// listInterval separates two reads of the list, which changes within minutes.
	listInterval = 5 * time.Second
	// tickInterval separates two rounds of probes.
	tickInterval = 500 * time.Millisecond
	// probesPerTick bounds the probes of one round. A new process learns 930
	// incarnations within 15 s.
	probesPerTick = 32
	// callTimeout bounds a probe and a read of the list.
	callTimeout = 2 * time.Second
	// observationQueueSize bounds the observations that wait.
	observationQueueSize = 1024
)

// Tracker keeps the table of a process up to date and publishes its views. One
// goroutine, in Run, owns the table; all other methods may be called by any
// goroutine.
type Tracker struct {
	table        *Table
	lister       instances.Lister
	prober       authority.Prober
	log          *events.Logger
	observations chan Observation
	lists        chan []instances.Instance
	changed      chan struct{}
	view         atomic.Pointer[View]
	calls        sync.WaitGroup
	// published is the version of the table that view shows.
	published uint64
}

// NewTracker returns a tracker for the process named self. log may be nil.
func NewTracker(self string, lister instances.Lister, prober authority.Prober, log *events.Logger) *Tracker {
	t := &Tracker{
		table:        NewTable(self),
		lister:       lister,
		prober:       prober,
		log:          log,
		observations: make(chan Observation, observationQueueSize),
		lists:        make(chan []instances.Instance, 1),
		changed:      make(chan struct{}, 1),
	}
	t.view.Store(&View{})
	return t
}

// View returns the latest view. It is never nil.
func (t *Tracker) View() *View {
	return t.view.Load()
}

// Peers returns the latest view as authority sees it.
func (t *Tracker) Peers() []authority.Peer {
	return t.View().peers()
}

// Changed receives a value after the view has changed. It has one receiver.
func (t *Tracker) Changed() <-chan struct{} {
	return t.changed
}

// Report hands an observation to the tracker. It does not wait: when
// observations arrive faster than they are taken, the surplus is dropped, as
// later ones make up for it.
func (t *Tracker) Report(e Observation) {
	select {
	case t.observations <- e:
	default:
	}
}

// Run tracks the instances until ctx ends.
func (t *Tracker) Run(ctx context.Context) {
	defer t.calls.Wait()
	tick := time.NewTicker(tickInterval)
	defer tick.Stop()
	list := time.NewTimer(0)
	defer list.Stop()
	for ctx.Err() == nil {
		select {
		case <-ctx.Done():
			return
		case e := <-t.observations:
			t.table.Observe(time.Now(), e)
		case found := <-t.lists:
			t.table.MergeList(time.Now(), found)
			t.probe(ctx, time.Now())
		case <-tick.C:
			t.table.ApplyTimeouts(time.Now())
			t.probe(ctx, time.Now())
		case <-list.C:
			t.calls.Go(func() { t.readList(ctx) })
			list.Reset(listInterval)
		}
		t.publish()
	}
}

func (t *Tracker) readList(ctx context.Context) {
	callCtx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	found, err := t.lister.List(callCtx)
	if err != nil {
		t.log.Emit(events.InstanceListFailed, "error", err.Error())
		return
	}
	select {
	case t.lists <- found:
	case <-ctx.Done():
	}
}

func (t *Tracker) probe(ctx context.Context, now time.Time) {
	for _, m := range t.table.TakeDueProbes(now, probesPerTick) {
		t.calls.Go(func() { t.probeOne(ctx, m) })
	}
}

func (t *Tracker) probeOne(ctx context.Context, m authority.Member) {
	callCtx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	found, err := t.prober.Probe(callCtx, m.Address)
	switch {
	case errors.Is(err, authority.ErrRefused):
		t.Report(Observation{Kind: ConnectionRefused, Instance: m.Instance})
	case err != nil:
		t.Report(Observation{Kind: NoResponse, Instance: m.Instance})
	case found != m.Instance && found.Name != m.Instance.Name:
		// The address was given to another instance.
		t.Report(Observation{Kind: IdentityMismatch, Instance: m.Instance})
	default:
		t.Report(Observation{Kind: Responded, Instance: found, Address: m.Address, Domain: m.Domain})
	}
}

// publish swaps in a new view when something changed.
func (t *Tracker) publish() {
	if t.table.Version() == t.published {
		return
	}
	t.published = t.table.Version()
	next := &View{Entries: t.table.Entries()}
	previous := t.view.Load()
	t.logChanges(previous, next)
	t.view.Store(next)
	select {
	case t.changed <- struct{}{}:
	default:
	}
}

func (t *Tracker) logChanges(previous, next *View) {
	for _, e := range next.Entries {
		before, known := previous.Find(e.Member.Instance.Name)
		if !known || before.State != e.State || before.Member.Instance != e.Member.Instance {
			t.log.Emit(events.InstanceState, "instance", e.Member.Instance.String(), "domain", e.Member.Domain, "state", e.State.String())
		}
	}
}
