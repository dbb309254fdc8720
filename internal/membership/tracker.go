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
	// listInterval is the interval between reads of the platform's list, whose content changes
	// within minutes.
	listInterval = 5 * time.Second
	// tickInterval is the interval between probe rounds.
	tickInterval = 500 * time.Millisecond
	// probesPerTick limits the probes of one round. With 32 a new process learns 930
	// incarnations within 15 s.
	probesPerTick = 32
	// callTimeout limits a probe and a read of the list.
	callTimeout = 2 * time.Second
	// observationQueueSize limits the number of queued observations.
	observationQueueSize = 1024
)

// Tracker keeps the membership table of a process up to date and publishes immutable views of
// it. The goroutine in Run owns the table; all other methods may be called by any goroutine.
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
	// published is the table version that view shows.
	published uint64
}

// NewTracker returns a tracker for the instance named self. log may be nil.
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

// Peers returns the latest view in the form that package authority uses.
func (t *Tracker) Peers() []authority.Peer {
	return t.View().peers()
}

// Changed returns a channel that receives a value after the view has changed. It supports a
// single receiver.
func (t *Tracker) Changed() <-chan struct{} {
	return t.changed
}

// Report queues an observation and does not block. If the queue is full, the observation is
// dropped, since later ones make up for it.
func (t *Tracker) Report(o Observation) {
	select {
	case t.observations <- o:
	default:
	}
}

// Run keeps the table up to date until ctx is cancelled.
func (t *Tracker) Run(ctx context.Context) {
	defer t.calls.Wait()
	tick := time.NewTicker(tickInterval)
	defer tick.Stop()
	listTimer := time.NewTimer(0)
	defer listTimer.Stop()
	for ctx.Err() == nil {
		select {
		case <-ctx.Done():
			return
		case o := <-t.observations:
			t.table.Observe(time.Now(), o)
		case listed := <-t.lists:
			t.table.MergeList(time.Now(), listed)
			t.probe(ctx, time.Now())
		case <-tick.C:
			t.table.ApplyTimeouts(time.Now())
			t.probe(ctx, time.Now())
		case <-listTimer.C:
			t.calls.Go(func() { t.readList(ctx) })
			listTimer.Reset(listInterval)
		}
		t.publish()
	}
}

func (t *Tracker) readList(ctx context.Context) {
	callCtx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	listed, err := t.lister.List(callCtx)
	if err != nil {
		t.log.Emit(events.InstanceListFailed, "error", err.Error())
		return
	}
	select {
	case t.lists <- listed:
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
	case errors.Is(err, authority.ErrConnectionRefused):
		t.Report(Observation{Kind: ConnectionRefused, Instance: m.Instance})
	case err != nil:
		t.Report(Observation{Kind: NoResponse, Instance: m.Instance})
	case found != m.Instance && found.Name != m.Instance.Name:
		// The address now belongs to another instance.
		t.Report(Observation{Kind: IdentityMismatch, Instance: m.Instance})
	default:
		t.Report(Observation{Kind: Responded, Instance: found, Address: m.Address, Domain: m.Domain})
	}
}

// publish publishes a new view if the table has changed.
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
