package record

import (
	"sync"
	"time"

	"peridotmoor.org/peridotmoor/internal/authority"
	"peridotmoor.org/peridotmoor/internal/key"
)

// Mirror stores copies of the request records of other holders in memory. One goroutine
// per shard checks tokens and writes, so that a copy is either stored before a new
// holder's fetch or refused after it.
type Mirror struct {
	self    authority.Instance
	options func(key.ShardID) Options
	shards  sync.Map // key.ShardID to chan func(*shardCopy)
	closed  chan struct{}
	running sync.WaitGroup
	starts  chan func()
}

// NewMirror returns the mirror of one instance with the same options for all shards.
func NewMirror(self authority.Instance, o Options) *Mirror {
	return NewMirrorWithShardOptions(self, func(key.ShardID) Options { return o })
}

// NewMirrorWithShardOptions returns the mirror of one instance with options for each
// shard. options is called at the first use of a shard.
func NewMirrorWithShardOptions(self authority.Instance, options func(key.ShardID) Options) *Mirror {
	m := &Mirror{self: self, options: options, closed: make(chan struct{}), starts: make(chan func())}
	m.running.Go(m.startShards)
	return m
}

// Copy stores a batch. It refuses one that is addressed to another incarnation or comes
// from a superseded holder.
func (m *Mirror) Copy(c CopyRequest) CopyReply {
	var reply CopyReply
	if c.To != m.self {
		return reply
	}
	m.do(c.Shard, func(sc *shardCopy) { reply = sc.write(c, time.Now()) })
	return reply
}

// Fetch returns the records of a shard to a new holder, or ErrNoCopy.
func (m *Mirror) Fetch(f FetchRequest) ([]Record, time.Time, error) {
	if f.To != m.self {
		return nil, time.Time{}, ErrNoCopy
	}
	var records []Record
	var since time.Time
	var ok bool
	m.do(f.Shard, func(sc *shardCopy) { records, since, ok = sc.read(f.Token, time.Now()) })
	if !ok {
		return nil, time.Time{}, ErrNoCopy
	}
	return records, since, nil
}

// Close stops all goroutines. Later calls are refused.
func (m *Mirror) Close() {
	close(m.closed)
	m.running.Wait()
}

// do runs work in the shard's goroutine and waits for it.
func (m *Mirror) do(shard key.ShardID, work func(*shardCopy)) {
	finished := make(chan struct{})
	task := func(sc *shardCopy) {
		work(sc)
		close(finished)
	}
	select {
	case m.shard(shard) <- task:
		<-finished
	case <-m.closed:
	}
}

func (m *Mirror) shard(shard key.ShardID) chan func(*shardCopy) {
	if tasks, ok := m.shards.Load(shard); ok {
		return tasks.(chan func(*shardCopy))
	}
	tasks := make(chan func(*shardCopy))
	if winner, loaded := m.shards.LoadOrStore(shard, tasks); loaded {
		return winner.(chan func(*shardCopy))
	}
	select {
	case m.starts <- func() { m.runShard(shard, tasks) }:
	case <-m.closed:
	}
	return tasks
}

// startShards starts the goroutine of each shard at its first use. They are started only
// here, within the wait group, so that Close waits for all of them.
func (m *Mirror) startShards() {
	for {
		select {
		case run := <-m.starts:
			m.running.Go(run)
		case <-m.closed:
			return
		}
	}
}

func (m *Mirror) runShard(shard key.ShardID, tasks chan func(*shardCopy)) {
	sc := newShardCopy(m.options(shard))
	for {
		select {
		case task := <-tasks:
			task(sc)
		case <-m.closed:
			return
		}
	}
}
