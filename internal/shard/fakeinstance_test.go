package shard

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"peridotmoor.org/peridotmoor/internal/authority"
)

// Durations of section 3.2 of the design page.
const (
	promiseTTL     = 600 * time.Millisecond
	tenureDuration = 594 * time.Millisecond
	renewInterval  = 150 * time.Millisecond
	rankDelay      = 40 * time.Millisecond
)

// fakeInstance is an instance with a runtime. Its tenure is renewed until cutOff is
// closed.
type fakeInstance struct {
	mu      sync.Mutex
	tenure  *authority.Tenure
	changed chan struct{}
	cutOff  chan struct{}
	runtime *Runtime
	cancel  context.CancelFunc
	// tenureDelay delays the return of Tenure, as a pause of the process would.
	tenureDelay time.Duration
}

func (f *fakeInstance) Tenure() *authority.Tenure {
	f.mu.Lock()
	tenure, delay := f.tenure, f.tenureDelay
	f.mu.Unlock()
	time.Sleep(delay)
	return tenure
}

func (f *fakeInstance) Changed() <-chan struct{} { return f.changed }

func (f *fakeInstance) setTenure(tenure *authority.Tenure) {
	f.mu.Lock()
	f.tenure = tenure
	f.mu.Unlock()
	select {
	case f.changed <- struct{}{}:
	default:
	}
}

// addInstance starts an instance that does not hold the shard.
func (tc *testCluster) addInstance() *fakeInstance {
	instance := &fakeInstance{changed: make(chan struct{}, 1)}
	instance.runtime = New(Options{
		Shard:           testShard,
		Interval:        tc.interval,
		Tenures:         instance,
		AssignmentStore: tc.store,
		Config:          NewConfigSource(tc.config()),
		NewTarget:       tc.newTarget,
		LimiterFor:      tc.limiterFor,
		Random:          rand.New(rand.NewPCG(1, 2)),
	})
	ctx, cancel := context.WithCancel(context.Background())
	instance.cancel = cancel
	tc.goroutines.Go(func() { instance.runtime.Run(ctx) })
	tc.withLock(func() { tc.instances = append(tc.instances, instance) })
	return instance
}

// elect makes the instance the holder with the next ballot, and renews its tenure until
// it is cut off.
func (tc *testCluster) elect(instance *fakeInstance) {
	tc.ballot++
	tc.currentHolder = instance
	instance.cutOff = make(chan struct{})
	base := authority.Tenure{
		Shard: testShard, Token: authority.Token{Epoch: 1, Ballot: tc.ballot}, Since: time.Now(),
	}
	cutOff := instance.cutOff
	tc.renewTenure(instance, base)
	tc.goroutines.Go(func() {
		ticker := time.NewTicker(renewInterval)
		defer ticker.Stop()
		for {
			select {
			case <-cutOff:
				return
			case <-ticker.C:
				tc.renewTenure(instance, base)
			}
		}
	})
}

// renewTenure has no effect once the holder is cut off: a renewal at the same instant
// would let two tenures overlap, which witnesses exclude.
func (tc *testCluster) renewTenure(instance *fakeInstance, base authority.Tenure) {
	tc.mu.Lock()
	defer tc.mu.Unlock()
	select {
	case <-instance.cutOff:
		return
	default:
	}
	base.End = time.Now().Add(tenureDuration)
	tc.promisesEnd = time.Now().Add(promiseTTL)
	instance.setTenure(&base)
}

// replaceHolder cuts the holder off from its witnesses, and lets next take over as soon
// as the promises have expired. The old holder keeps working until its tenure ends.
func (tc *testCluster) replaceHolder(next *fakeInstance) {
	tc.mu.Lock()
	close(tc.currentHolder.cutOff)
	wait := time.Until(tc.promisesEnd) + rankDelay
	tc.mu.Unlock()
	time.Sleep(wait)
	tc.elect(next)
}
