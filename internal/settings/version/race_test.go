package version

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/pkg/errors"
	"peridotmoor.org/peridotmoor/internal/settings/settingstest"
	"peridotmoor.org/peridotmoor/internal/store"
	"pgregory.net/rapid"
)

// attempt is the result of one proposal as reported to its operator.
type attempt struct {
	text    string
	version Version
	err     error
}

// Runs concurrent operators with lost requests, lost responses and outages in random
// interleavings. Guards against a version that is reported as accepted but is missing
// from the history, one that is reported as refused but is in the history, and gaps or
// forks in the history.
func TestReportsMatchHistory(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		faults := rapid.SliceOfN(rapid.IntRange(0, 5), 40, 40).Draw(rt, "faults")
		operators := rapid.IntRange(2, 4).Draw(rt, "operators")
		rounds := rapid.IntRange(1, 4).Draw(rt, "rounds")
		delays := rapid.SliceOfN(rapid.IntRange(0, 9), 64, 64).Draw(rt, "delays")
		var attempts []attempt
		var history []Version
		synctest.Test(t, func(*testing.T) {
			s := settingstest.NewStore()
			s.SetHooks(faultHooks(faults))
			attempts = runOperators(s, operators, rounds, delays)
			s.SetHooks(nil, nil)
			history, _ = History(context.Background(), s, 1000)
		})
		checkReports(rt, attempts, history)
	})
}

// faultHooks injects faults into writes of the current key, one element of faults per
// write: 0 loses the request, 1 loses the response, 2 is an outage, others are no fault.
func faultHooks(faults []int) (before, after func(op, key string) error) {
	var mu sync.Mutex
	fault := 3
	before = func(op, key string) error {
		if op != "cas" || key != CurrentKey {
			return nil
		}
		mu.Lock()
		defer mu.Unlock()
		fault = 3
		if len(faults) > 0 {
			fault, faults = faults[0], faults[1:]
		}
		switch fault {
		case 0:
			return store.ErrUncertain
		case 2:
			return store.ErrUnavailable
		}
		return nil
	}
	after = func(op, key string) error {
		mu.Lock()
		defer mu.Unlock()
		if op == "cas" && key == CurrentKey && fault == 1 {
			return store.ErrUncertain
		}
		return nil
	}
	return before, after
}

// slowStore delays the calls of one operator by drawn times that differ from those of all
// other operators, so that the order of all calls is determined by the seed.
type slowStore struct {
	store.Store
	operator int
	delays   []int
	calls    int
}

func (s *slowStore) wait() {
	delay := s.delays[(s.operator*17+s.calls)%len(s.delays)]
	s.calls++
	time.Sleep(time.Duration(delay)*time.Millisecond + time.Duration(s.operator+1)*time.Microsecond)
}

func (s *slowStore) Get(ctx context.Context, key string) (store.Entry, error) {
	s.wait()
	return s.Store.Get(ctx, key)
}

func (s *slowStore) CompareAndSwap(ctx context.Context, key string, revision uint64, value []byte, id store.LeaseID) (store.Entry, error) {
	s.wait()
	return s.Store.CompareAndSwap(ctx, key, revision, value, id)
}

func runOperators(shared *settingstest.Store, operators, rounds int, delays []int) []attempt {
	var mu sync.Mutex
	var attempts []attempt
	var wg sync.WaitGroup
	for o := range operators {
		wg.Go(func() {
			s := &slowStore{Store: shared, operator: o, delays: delays}
			for r := range rounds {
				text := fmt.Sprintf("[DEFAULT]\nqueue_limit = %d\n", 10*o+r)
				ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
				parent, _, _ := Current(ctx, s)
				v, err := Apply(ctx, s, proposal(text, "aoi", parent.Number))
				cancel()
				mu.Lock()
				attempts = append(attempts, attempt{text, v, err})
				mu.Unlock()
			}
		})
	}
	wg.Wait()
	return attempts
}

func checkReports(rt *rapid.T, attempts []attempt, history []Version) {
	accepted := map[string]Version{}
	for i, v := range history {
		if v.Number != uint64(len(history)-i) || v.Parent != v.Number-1 {
			rt.Fatalf("history has %v at index %d of %d", v, i, len(history))
		}
		accepted[v.Text] = v
	}
	for _, a := range attempts {
		var uncertain *UncertainError
		v, found := accepted[a.text]
		switch {
		case a.err == nil && (!found || v.WriteID != a.version.WriteID):
			rt.Fatalf("reported as accepted but not in the history: %v", a.version)
		case a.err != nil && !errors.As(a.err, &uncertain) && found:
			rt.Fatalf("in the history but reported as failed: %v", a.err)
		}
	}
}
