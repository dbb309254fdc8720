package holder

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"github.com/pkg/errors"

	"peridotmoor.org/peridotmoor/internal/facts"
	"peridotmoor.org/peridotmoor/internal/link"
	"peridotmoor.org/peridotmoor/internal/link/linkpb"
	"peridotmoor.org/peridotmoor/internal/store"
	"peridotmoor.org/peridotmoor/internal/store/memstore"
)

// startElector runs the elector of an instance without network until the test ends or
// the returned function is called, which waits until it has ended.
func startElector(t *testing.T, shared *memstore.Store, name string, processorShare float64) (*Elector, func()) {
	t.Helper()
	registry := facts.NewRegistry(nil, nil)
	e := NewElector(Options{
		Self: Identity{Name: name, Incarnation: "K55N5AKH", Address: "127.0.0.1:1"}, Store: shared, Registry: registry,
		Reader: facts.NewReader(emptySource{}, registry, nil), Client: newFakeClient(registry), ProcessorShare: processorShare,
	})
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan struct{})
	go func() {
		defer close(done)
		e.Run(ctx)
	}()
	return e, func() {
		cancel()
		<-done
	}
}

// currentHolder returns the name of the instance in the holder's key, or "".
func currentHolder(t *testing.T, shared *memstore.Store) string {
	t.Helper()
	entry, err := shared.Get(t.Context(), KeyHolder)
	if errors.Is(err, store.ErrNotFound) {
		return ""
	}
	holder, decodeErr := decodeIdentity(entry.Value)
	if err != nil || decodeErr != nil {
		t.Fatal(err, decodeErr)
	}
	return holder.Name
}

// joinAs makes another instance follow the elector.
func joinAs(t *testing.T, e *Elector, member link.Member) link.Link {
	t.Helper()
	l := link.JoinLocal(e, member, link.NewClock(), func(*linkpb.Down) {})
	if l == nil {
		t.Fatal("the instance is not the holder")
	}
	return l
}

// Guards against a fleet without a holder while all of its instances stop: a stopping
// holder ended its tenure at once, although no other instance could succeed it. Guards
// also against a hand-over to a machine that is too weak, while stronger ones restart.
func TestStoppingHolderStaysUntilThereIsASuccessor(t *testing.T) {
	cases := []struct {
		name     string
		follower link.Member
		// announced is set if the follower says that it stops after it has joined.
		announced bool
		handsOver bool
	}{
		{"running follower", link.Member{Instance: "entry-2", ProcessorShare: 0.8}, false, true},
		{"follower on a weak machine", link.Member{Instance: "entry-2", ProcessorShare: 0.16}, false, false},
		{"stopping follower", link.Member{Instance: "entry-2", ProcessorShare: 0.8, Stopping: true}, false, false},
		{"follower that begins to stop", link.Member{Instance: "entry-2", ProcessorShare: 0.8}, true, false},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				shared := memstore.New()
				e, end := startElector(t, shared, "entry-1", 0.8)
				time.Sleep(time.Second)
				is.Equal(currentHolder(t, shared), "entry-1")
				follower := joinAs(t, e, tc.follower)
				defer follower.(*link.Local).Close()
				if tc.announced {
					follower.Send(&linkpb.Up{Stopping: true})
				}
				time.Sleep(time.Second)
				is.Equal(currentHolder(t, shared), "entry-1")
				e.BeginStop()
				e.EndCandidacy()
				time.Sleep(4 * time.Second)
				is.Equal(currentHolder(t, shared) == "", tc.handsOver)
				end()
				is.Equal(currentHolder(t, shared), "")
			})
		})
	}
}

// Guards against an instance that is elected in the last part of its planned stop and has
// to be replaced at once, and against a fleet that stops as a whole and has no holder.
func TestStoppingInstanceIsCandidateUntilItEndsSoon(t *testing.T) {
	for _, ending := range []bool{false, true} {
		synctest.Test(t, func(t *testing.T) {
			is := is.New(t)
			shared := memstore.New()
			shared.Faults().SetUnavailable(true)
			e, end := startElector(t, shared, "entry-1", 0.8)
			e.BeginStop()
			if ending {
				e.EndCandidacy()
			}
			shared.Faults().SetUnavailable(false)
			elected := false
			for range 50 {
				time.Sleep(100 * time.Millisecond)
				elected = elected || currentHolder(t, shared) == "entry-1"
			}
			is.Equal(elected, !ending)
			end()
		})
	}
}

// Guards against weak machines that stand for election before strong ones that have just
// begun to stop, and against a wait for strong ones that end and do not stand.
func TestShareOfCandidatesIncludesInstancesThatHaveBegunToStop(t *testing.T) {
	is := is.New(t)
	stopping := &link.Follower{Member: link.Member{ProcessorShare: 0.8, Stopping: true}}
	c := &Coordinator{followers: map[*link.Follower]bool{{Member: link.Member{ProcessorShare: 0.16}}: true, stopping: true}}
	is.Equal(c.maxCandidateShare(), 0.8)
	is.Equal(c.maxRunningShare(), 0.16)
	stopping.Ending = true
	is.Equal(c.maxCandidateShare(), 0.16)
}

// Guards against a holder that yields to a stronger machine that stops.
func TestHolderDoesNotYieldToAStoppingInstance(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	c := &Coordinator{processorShare: 0.16, followers: map[*link.Follower]bool{
		{Member: link.Member{ProcessorShare: 0.8, Stopping: true}}: true,
	}}
	c.leaseConfirmedAt.Store(&now)
	c.considerYield(now)
	is.True(!c.yieldPlanned)
}
