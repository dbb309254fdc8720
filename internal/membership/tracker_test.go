package membership

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"github.com/pkg/errors"

	"peridotmoor.org/peridotmoor/internal/authority"
	"peridotmoor.org/peridotmoor/internal/instances"
)

// staleList is a list that never changes.
type staleList []instances.Instance

func (l staleList) List(context.Context) ([]instances.Instance, error) { return l, nil }

// fakeFleet responds to probes; addresses that are not in it do not respond, and those with a
// zero instance refuse the connection.
type fakeFleet map[string]authority.Instance

func (f fakeFleet) Probe(ctx context.Context, address string) (authority.Instance, error) {
	found, ok := f[address]
	if !ok {
		<-ctx.Done()
		return authority.Instance{}, errors.Wrap(ctx.Err(), "probe")
	}
	if found.IsZero() {
		return found, authority.ErrConnectionRefused
	}
	return found, nil
}

// Guards against listed instances that are never probed for their incarnation, and against one
// that does not respond or refuses connections staying in service.
func TestTrackerProbesListedInstances(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		list := staleList{
			{Name: "a", Address: "a:1", Domain: "d1", State: instances.Live},
			{Name: "b", Address: "b:1", Domain: "d2", State: instances.Live},
			{Name: "c", Address: "c:1", Domain: "d3", State: instances.Live},
			{Name: "self", Address: "s:1", Domain: "d3", State: instances.Live},
		}
		fleet := fakeFleet{"a:1": instance("a", "7"), "b:1": {}}
		tracker := NewTracker("self", list, fleet, nil)
		ctx, cancel := context.WithCancel(t.Context())
		done := make(chan struct{})
		go func() { defer close(done); tracker.Run(ctx) }()
		time.Sleep(10 * time.Second)
		synctest.Wait()
		view := tracker.View()
		want := map[string]State{"a": Live, "b": Gone, "c": Suspect}
		is.Equal(len(view.Entries), len(want))
		for name, state := range want {
			e, _ := view.Find(name)
			is.Equal(e.State, state)
		}
		is.Equal(view.ReachableMembers(), []authority.Member{{Instance: instance("a", "7"), Address: "a:1", Domain: "d1"}})
		cancel()
		<-done
	})
}
