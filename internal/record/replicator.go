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

// errMirrorSlow means that a mirror did not acknowledge a message within its timeout.
var errMirrorSlow = errors.New("timeout waiting for the mirror")

// errHolderStopped ends a backfill whose replicator has been closed.
var errHolderStopped = errors.New("the holder has stopped")

// errMirrorRefused means that a mirror refuses copies although it has not accepted a
// higher token: it is another incarnation.
var errMirrorRefused = errors.New("the mirror is another incarnation")

// replicator copies the records of one shard from its holder to the mirrors, whose set
// the witnesses have acknowledged. Requests read an immutable list of targets; the
// goroutine of the controller replaces it.
type replicator struct {
	shard        key.ShardID
	self         authority.Instance
	mirrorClient MirrorClient
	sets         MirrorSetConsensus
	table        *Table
	token        atomic.Pointer[authority.Token]
	targets      atomic.Pointer[copyTargets]
	tasks        chan func(*controller)
	closed       chan struct{}
	running      sync.WaitGroup
	events       *events.Logger
}

func (r *replicator) start() {
	r.tasks = make(chan func(*controller))
	r.closed = make(chan struct{})
	r.targets.Store(&copyTargets{changed: make(chan struct{})})
	r.running.Go(newController(r).run)
}

func (r *replicator) markClosed() {
	close(r.closed)
}

func (r *replicator) isClosed() bool {
	select {
	case <-r.closed:
		return true
	default:
		return false
	}
}

// post runs task in the goroutine of the controller, unless the replicator is closed.
func (r *replicator) post(task func(*controller)) {
	select {
	case r.tasks <- task:
	case <-r.closed:
	}
}

// copyToAll returns nil once all mirrors have the record. If the set loses its last
// member meanwhile, the record waits for the next one like a new record.
func (r *replicator) copyToAll(ctx context.Context, record Record) error {
	maxWait := mirrorWait
	if deadline, ok := ctx.Deadline(); ok {
		maxWait = min(maxWait, time.Duration(maxWaitFraction*float64(time.Until(deadline))))
	}
	waitCtx, cancel := context.WithTimeout(ctx, maxWait)
	defer cancel()
	for {
		if err := r.awaitMirror(waitCtx); err != nil {
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
		if err := r.ready(); err == nil || waitCtx.Err() != nil {
			return err
		}
	}
}

// awaitMirror waits while the mirror set is empty, as after a takeover or after the loss
// of its members. It returns an error when ctx ends first.
func (r *replicator) awaitMirror(ctx context.Context) error {
	for {
		targets := r.targets.Load()
		if targets.err != nil || len(targets.members) > 0 {
			return targets.err
		}
		select {
		case <-targets.changed:
		case <-ctx.Done():
			return r.ready()
		}
	}
}

// replaceTargets publishes a new list and wakes the requests that wait for one.
func (r *replicator) replaceTargets(next *copyTargets) {
	next.changed = make(chan struct{})
	close(r.targets.Swap(next).changed)
}

// ready returns an error while the mirror set is empty: if this holder were lost then,
// no record would show that a request may have been dispatched.
func (r *replicator) ready() error {
	targets := r.targets.Load()
	if targets.err != nil {
		return targets.err
	}
	if len(targets.members) == 0 {
		p := problem.New(problem.KindMirrorUnavailable, outcome.StageQueued,
			"no mirror holds the request records of shard %s", r.shard)
		return p.WithRetryAfter(mirrorRetry)
	}
	return nil
}

// enqueue queues the record for all mirrors. The caller has put it into the table before
// the targets are read here, so a mirror that joins later gets it by the backfill.
func (r *replicator) enqueue(record Record) *pendingCopy {
	return r.enqueueCopy(func(mirrors int) *pendingCopy { return newPendingCopy(record, mirrors) })
}

func (r *replicator) enqueueCopy(make func(mirrors int) *pendingCopy) *pendingCopy {
	targets := r.targets.Load()
	p := make(len(targets.senders))
	if len(targets.senders) == 0 {
		close(p.done)
	}
	for _, s := range targets.senders {
		s.send(p)
	}
	return p
}

// enqueueMark queues a message without a record for all mirrors. Each has all that was
// queued before once it has the mark.
func (r *replicator) enqueueMark() *pendingCopy {
	return r.enqueueCopy(func(mirrors int) *pendingCopy {
		p := newPendingCopy(Record{}, mirrors)
		p.mark = true
		return p
	})
}

// copyTo sends one batch to a mirror and returns an error unless the mirror accepts it.
func (r *replicator) copyTo(ctx context.Context, to authority.Instance, records []Record) error {
	token := *r.token.Load()
	reply, err := r.mirrorClient.Copy(ctx, to, CopyRequest{
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
	// backfillTimeout bounds one message of a backfill. It exceeds mirrorTimeout, since
	// these messages are larger and no request waits for them.
	backfillTimeout = time.Second
)

// backfill copies all records of the table. The last message is sent even if it has no
// records, since every message carries the complete-since time.
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
