package callerhttp

import (
	"io"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"peridotmoor.org/peridotmoor/internal/membudget"
)

// readAhead reads the rest of a long response while the caller takes what was read before,
// so that a slow caller does not hold the server. It holds one chunk in any case and further
// ones as far as there is memory: without it, the server is read at the pace of the caller.
// A list of chunks with one producer and one consumer passes on what was read, without locks.
type readAhead struct {
	source  io.ReadCloser
	holding *membudget.Holding
	// head, offset and freed belong to the consumer. freed is set once the buffer of head
	// has been given up.
	head   *chunk
	offset int
	freed  bool
	// chunks is the number of chunks whose buffers are in use.
	chunks atomic.Int32
	// ready tells the consumer that something was read, and room tells the producer that a
	// chunk was freed.
	ready, room chan struct{}
	// closed is closed by Close, and done once the producer has ended, with err.
	closed    chan struct{}
	closeOnce sync.Once
	done      chan struct{}
	err       error
}

func newReadAhead(source io.ReadCloser, holding *membudget.Holding) *readAhead {
	r := &readAhead{
		source: source, holding: holding, head: smallChunks.newChunk(), ready: make(chan struct{}, 1), room: make(chan struct{}, 1),
		closed: make(chan struct{}), done: make(chan struct{}),
	}
	r.chunks.Store(1)
	holding.Charge(membudget.ReadAhead, chunkBytes)
	go r.produce(r.head)
	return r
}

// produce reads the source into tail and further chunks.
func (r *readAhead) produce(tail *chunk) {
	defer close(r.done)
	defer func() { _ = r.source.Close() }() // it has been read to its end, or its error is known
	data, filled, n := tail.data, 0, 0      // the consumer gives up tail.data once it is full and read
	for {
		if filled == len(data) {
			pool := r.takeChunk(n >= chunkBytes/2)
			if pool == nil {
				r.err = io.ErrClosedPipe
				return
			}
			next := pool.newChunk()
			data, filled = next.data, 0
			tail.next.Store(next)
			tail = next
		}
		var err error
		n, err = r.source.Read(data[filled:])
		filled += n
		tail.filled.Store(int32(filled))
		notify(r.ready)
		if err != nil {
			r.err = err
			return
		}
		select {
		case <-r.closed:
			r.err = io.ErrClosedPipe
			return
		default:
		}
	}
}

// takeChunk waits until another chunk may be used, a large one if the source has much ready.
// It returns the pool to get it from, or nil once r is closed.
func (r *readAhead) takeChunk(much bool) *chunkPool {
	var retry *time.Timer
	for {
		if much && r.holding.Take(membudget.ReadAhead, largeChunkBytes) {
			r.chunks.Add(1)
			return largeChunks
		}
		if r.chunks.CompareAndSwap(0, 1) {
			r.holding.Charge(membudget.ReadAhead, chunkBytes)
			return smallChunks
		}
		if r.holding.Take(membudget.ReadAhead, chunkBytes) {
			r.chunks.Add(1)
			return smallChunks
		}
		if retry == nil {
			retry = time.NewTimer(readAheadRetry)
			defer retry.Stop()
		} else {
			retry.Reset(readAheadRetry)
		}
		select {
		case <-r.room:
		case <-retry.C:
		case <-r.closed:
			return nil
		}
	}
}

// next returns what was read next, which stays valid until the following call.
func (r *readAhead) next() ([]byte, error) {
	for {
		ended := false
		select {
		case <-r.closed:
			<-r.done
			if r.err == nil || errors.Is(r.err, io.EOF) {
				return nil, io.ErrClosedPipe
			}
			return nil, r.err
		case <-r.done: // everything that was read is visible from here on
			ended = true
		default:
		}
		if filled := int(r.head.filled.Load()); r.offset < filled {
			part := r.head.data[r.offset:filled]
			r.offset = filled
			return part, nil
		}
		if r.freed || r.offset == len(r.head.data) {
			if !r.freed {
				r.freed = true
				r.freeChunk(r.head)
			}
			if next := r.head.next.Load(); next != nil {
				r.head, r.offset, r.freed = next, 0, false
				continue
			}
		}
		if ended {
			return nil, r.err
		}
		select {
		case <-r.ready:
		case <-r.done:
		case <-r.closed:
		}
	}
}

func (r *readAhead) freeChunk(c *chunk) {
	n := c.free()
	r.chunks.Add(-1)
	r.holding.Return(membudget.ReadAhead, n)
	notify(r.room)
}

// Read implements io.Reader. It is called by the consumer only.
func (r *readAhead) Read(p []byte) (int, error) {
	part, err := r.next()
	n := copy(p, part)
	r.offset -= len(part) - n
	return n, err
}

// WriteTo writes everything to w. It is called by the consumer only.
func (r *readAhead) WriteTo(w io.Writer) (written int64, err error) {
	for {
		part, err := r.next()
		if errors.Is(err, io.EOF) {
			return written, nil
		}
		if err != nil {
			return written, err
		}
		n, err := w.Write(part)
		written += int64(n)
		if err != nil {
			return written, err
		}
	}
}

// Close ends the reading of the source and waits for that. Any goroutine may call it.
func (r *readAhead) Close() error {
	r.closeOnce.Do(func() {
		close(r.closed)
		_ = r.source.Close() // a pending read ends, and its error is reported
	})
	<-r.done
	return nil
}

// release returns the memory. The consumer calls it after Close.
func (r *readAhead) release() {
	for c := r.head; c != nil; c = c.next.Load() {
		if c != r.head || !r.freed {
			r.freeChunk(c)
		}
	}
}

// notify makes the receiver of c look again.
func notify(c chan struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}
