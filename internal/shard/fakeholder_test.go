package shard

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"peridotmoor.org/peridotmoor/internal/authority"
)

// Times of section 3.2 of the design page.
const (
	promiseTTL = 600 * time.Millisecond
	tenureSpan = 594 * time.Millisecond
	renewEvery = 150 * time.Millisecond
	rankDelay  = 40 * time.Millisecond
)

// fakeHolder is an instance with a runtime. Its tenure is renewed until cut.
type fakeHolder struct {
	mu      sync.Mutex
	tenure  *authority.Tenure
	changed chan struct{}
	cut     chan struct{}
	runtime *Runtime
	cancel  context.CancelFunc
	// stall delays the answer of Tenure, as a pause of the process would.
	stall time.Duration
}

func (h *fakeHolder) Tenure() *authority.Tenure {
	h.mu.Lock()
	tenure, stall := h.tenure, h.stall
	h.mu.Unlock()
	time.Sleep(stall)
	return tenure
}

func (h *fakeHolder) Changed() <-chan struct{} { return h.changed }

func (h *fakeHolder) set(tenure *authority.Tenure) {
	h.mu.Lock()
	h.tenure = tenure
	h.mu.Unlock()
	select {
	case h.changed <- struct{}{}:
	default:
	}
}

// addHolder starts an instance that does not hold the shard.
func (w *world) addHolder() *fakeHolder {
	h := &fakeHolder{changed: make(chan struct{}, 1)}
	h.runtime = New(Options{
		Shard:           testShard,
		Interval:        w.interval,
		Tenures:         h,
		AssignmentStore: w.store,
		Config:          NewConfigSource(w.config()),
		NewTarget:       w.newTarget,
		LimiterFor:      w.gateOf,
		Random:          rand.New(rand.NewPCG(1, 2)),
	})
	ctx, cancel := context.WithCancel(context.Background())
	h.cancel = cancel
	w.running.Go(func() { h.runtime.Run(ctx) })
	w.update(func() { w.holders = append(w.holders, h) })
	return h
}

// take makes h the holder with the next ballot and renews its tenure until cut.
func (w *world) take(h *fakeHolder) {
	w.ballot++
	w.holder = h
	h.cut = make(chan struct{})
	base := authority.Tenure{
		Shard: testShard, Token: authority.Token{Epoch: 1, Ballot: w.ballot}, Since: time.Now(),
	}
	cut := h.cut
	w.renew(h, base)
	w.running.Go(func() {
		ticker := time.NewTicker(renewEvery)
		defer ticker.Stop()
		for {
			select {
			case <-cut:
				return
			case <-ticker.C:
				w.renew(h, base)
			}
		}
	})
}

// renew has no effect once the holder is cut off: a renewal at the same instant
// would let two tenures overlap, which witnesses exclude.
func (w *world) renew(h *fakeHolder, base authority.Tenure) {
	w.mu.Lock()
	defer w.mu.Unlock()
	select {
	case <-h.cut:
		return
	default:
	}
	base.End = time.Now().Add(tenureSpan)
	w.promised = time.Now().Add(promiseTTL)
	h.set(&base)
}

// succeed cuts the holder off its witnesses and lets next take over as soon as
// the promises have expired. The old one keeps working until its tenure ends.
func (w *world) succeed(next *fakeHolder) {
	w.mu.Lock()
	close(w.holder.cut)
	wait := time.Until(w.promised) + rankDelay
	w.mu.Unlock()
	time.Sleep(wait)
	w.take(next)
}
