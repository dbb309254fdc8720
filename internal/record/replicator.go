package record

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	"peridotmoor.org/peridotmoor/internal/authority"
	"peridotmoor.org/peridotmoor/internal/events"
	"peridotmoor.org/peridotmoor/internal/key"
	"peridotmoor.org/peridotmoor/internal/outcome"
	"peridotmoor.org/peridotmoor/internal/problem"
)

// errMirrorSlow means that a mirror did not answer in time.
var errMirrorSlow = errors.New("the mirror did not answer in time")

// errHolderStopped ends a backfill whose holder does not need it any more.
var errHolderStopped = errors.New("the holder has stopped")

// errMirrorRefused means that a mirror does not accept copies although no other
// holder is known to it: it is another incarnation.
var errMirrorRefused = errors.New("the mirror is another incarnation")

// replicator copies the records of one shard from its holder to the mirrors and
// keeps the mirror set agreed with the witnesses. Requests read an immutable
// list of targets; one control goroutine changes it.
type replicator struct {
	shard  key.ShardID
	self   authority.Instance
	copier MirrorClient
	sets   MirrorSetConsensus
	table  *Table
	// source is the mirror that the table was fetched from, if any.
	source  authority.Instance
	token   atomic.Pointer[authority.Token]
	targets atomic.Pointer[copyTargets]
	tasks   chan func(*controller)
	closed  chan struct{}
	running sync.WaitGroup
	events  *events.Logger
}

func (r *replicator) start() {
	r.tasks = make(chan func(*controller))
	r.closed = make(chan struct{})
	r.targets.Store(&copyTargets{changed: make(chan struct{})})
	r.running.Go(newController(r).run)
}

func (r *replicator) close() {
	close(r.closed)
	r.running.Wait()
}

func (r *replicator) isClosed() bool {
	select {
	case <-r.closed:
		return true
	default:
		return false
	}
}

// post hands an event to the control goroutine.
func (r *replicator) post(event func(*controller)) {
	select {
	case r.tasks <- event:
	case <-r.closed:
	}
}

// copyToAll returns nil once all mirrors have the record. The set may lose its last
// member on the way; the record then waits for the next one like a new record.
func (r *replicator) copyToAll(ctx context.Context, record Record) error {
	patience := mirrorWait
	if deadline, ok := ctx.Deadline(); ok {
		patience = min(patience, time.Duration(maxWaitFraction*float64(time.Until(deadline))))
	}
	waiting, cancel := context.WithTimeout(ctx, patience)
	defer cancel()
	for {
		if err := r.awaitMirror(waiting); err != nil {
			return err
		}
		p := r.enqueue(record)
		select {
		case <-p.done:
		case <-ctx.Done():
			return problem.Wrap(context.Cause(ctx), problem.KindMirrorUnavailable, outcome.StageQueued,
				"the mirrors of shard %s did not acknowledge the record in time", r.shard)
		}
		if err := p.err(); err != nil {
			return err
		}
		if err := r.ready(); err == nil || waiting.Err() != nil {
			return err
		}
	}
}

// awaitMirror waits while no mirror holds the records, as after a takeover or while the
// set changes, and refuses when ctx ends.
func (r *replicator) awaitMirror(ctx context.Context) error {
	for {
		set := r.targets.Load()
		if set.err != nil || len(set.members) > 0 {
			return set.err
		}
		select {
		case <-set.changed:
		case <-ctx.Done():
			return r.ready()
		}
	}
}

// replaceTargets publishes a new list and wakes who waits for one.
func (r *replicator) replaceTargets(next *copyTargets) {
	next.changed = make(chan struct{})
	close(r.targets.Swap(next).changed)
}

// ready refuses while no mirror holds the records: an empty set leaves no proof
// of a dispatch if this holder is lost.
func (r *replicator) ready() error {
	set := r.targets.Load()
	if set.err != nil {
		return set.err
	}
	if len(set.members) == 0 {
		p := problem.New(problem.KindMirrorUnavailable, outcome.StageQueued,
			"no mirror holds the request records of shard %s", r.shard)
		return p.WithRetryAfter(mirrorRetry)
	}
	return nil
}

// enqueue queues the record for all mirrors. The record is in the table before
// the targets are read: a mirror that joins afterwards gets it by the backfill.
func (r *replicator) enqueue(record Record) *pendingCopy {
	set := r.targets.Load()
	p := newPendingCopy(record, len(set.senders))
	if len(set.senders) == 0 {
		close(p.done)
	}
	for _, s := range set.senders {
		s.send(p)
	}
	return p
}

// copyTo sends one batch and turns a refusal into an error.
func (r *replicator) copyTo(ctx context.Context, to authority.Instance, records []Record) error {
	token := *r.token.Load()
	reply, err := r.copier.Copy(ctx, to, CopyRequest{
		Shard: r.shard, Token: token, Holder: r.self, To: to, Records: records,
		CompleteSince: r.table.CompleteSince(),
	})
	switch {
	case err != nil:
		return errors.Wrapf(err, "copy to mirror %s", to)
	case reply.Accepted:
		return nil
	case token.Less(reply.Highest):
		return &higherTokenError{mirror: to, highest: reply.Highest}
	default:
		return errors.Wrapf(errMirrorRefused, "mirror %s", to)
	}
}

const (
	// backfillRecords and backfillBytes bound one message of a backfill.
	backfillRecords = 512
	backfillBytes   = 256 << 10
	// backfillTimeout bounds one message of a backfill, which is larger than a
	// request's and not waited for by any request.
	backfillTimeout = time.Second
)

// backfill copies all records of the table. The last message may be empty: it
// tells the mirror the complete since time.
func (r *replicator) backfill(to authority.Instance) error {
	var batch []Record
	size := 0
	var failure error
	r.table.Snapshot(func(record Record) {
		batch = append(batch, record)
		size += len(record.Body)
		if failure != nil || len(batch) < backfillRecords && size < backfillBytes {
			return
		}
		failure = r.backfillBatch(to, batch)
		batch, size = nil, 0
		if failure == nil && r.isClosed() {
			failure = errHolderStopped
		}
	})
	if failure != nil {
		return failure
	}
	return r.backfillBatch(to, batch)
}

func (r *replicator) backfillBatch(to authority.Instance, batch []Record) error {
	ctx, cancel := context.WithTimeout(context.Background(), backfillTimeout)
	defer cancel()
	return r.copyTo(ctx, to, batch)
}
