package holder

import (
	"context"
	"testing"
	"time"

	"github.com/matryer/is"

	"peridotmoor.org/peridotmoor/internal/facts"
	"peridotmoor.org/peridotmoor/internal/link"
	"peridotmoor.org/peridotmoor/internal/store"
	"peridotmoor.org/peridotmoor/internal/store/memstore"
)

// reachableInstance is an elector with a server that other instances can dial.
type reachableInstance struct {
	elector *Elector
	client  *fakeClient
	end     func()
}

// startReachable starts an instance on a loopback address.
func startReachable(t *testing.T, s store.EraStore, name string) *reachableInstance {
	t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	listener, err := link.Listen(ctx, "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	registry := facts.NewRegistry(nil, nil)
	i := &reachableInstance{client: newFakeClient(registry)}
	i.elector = NewElector(Options{
		Self: Identity{Name: name, Incarnation: "K55N5AKH", Address: listener.Addr().String(), Domain: "d-" + name}, Store: s, Registry: registry,
		Reader: facts.NewReader(emptySource{}, registry, nil), Client: i.client, ProcessorShare: 0.5,
	})
	served, ran := make(chan struct{}), make(chan struct{})
	go func() {
		defer close(served)
		if err := link.NewServer(i.elector).Serve(ctx, listener); err != nil {
			t.Error(err)
		}
	}()
	go func() {
		defer close(ran)
		i.elector.Run(ctx)
	}()
	i.end = func() {
		cancel()
		<-ran
		<-served
	}
	return i
}

// waitForHolder waits until the instance is or follows a holder, and returns its name.
func (i *reachableInstance) waitForHolder(t *testing.T, other string) string {
	t.Helper()
	for range 1000 {
		if holder := i.elector.current.Load(); holder != nil && holder.Name != other {
			return holder.Name
		}
		time.Sleep(10 * time.Millisecond)
	}
	t.Fatal("no holder within 10 s")
	return ""
}

// Guards against an instance that has no holder for as long as it is cut off from the
// store, after the holder was lost, although it can reach the next one.
func TestInstanceCutOffFromTheStoreFindsTheNextHolder(t *testing.T) {
	is := is.New(t)
	shared := memstore.New()
	cut := &switchedStore{EraStore: shared}
	first := startReachable(t, shared, "entry-1")
	is.Equal(first.waitForHolder(t, ""), "entry-1")
	second := startReachable(t, shared, "entry-2")
	defer second.end()
	third := startReachable(t, cut, "entry-3")
	defer third.end()
	is.Equal(second.waitForHolder(t, ""), "entry-1")
	is.Equal(third.waitForHolder(t, ""), "entry-1")
	for range 300 { // until it knows of entry-2
		if p := third.elector.peers.Load(); p != nil && len(*p) > 1 {
			break
		}
		time.Sleep(10 * time.Millisecond)
	}
	cut.off.Store(true)
	first.end()
	is.Equal(second.waitForHolder(t, "entry-1"), "entry-2")
	is.Equal(third.waitForHolder(t, "entry-1"), "entry-2")
}

// Guards against a holder that the store turns away, and that finds nobody to ask for its
// successor for as long as that lasts: it had never followed another one.
func TestFormerHolderKnowsWhomToAskForItsSuccessor(t *testing.T) {
	is := is.New(t)
	shared := memstore.New()
	first := startReachable(t, shared, "entry-1")
	defer first.end()
	is.Equal(first.waitForHolder(t, ""), "entry-1")
	second := startReachable(t, shared, "entry-2")
	defer second.end()
	is.Equal(second.waitForHolder(t, ""), "entry-1")
	for range 300 { // until it knows of entry-2
		if first.elector.peers.Load() != nil {
			break
		}
		time.Sleep(10 * time.Millisecond)
	}
	successor := Identity{Name: "entry-3", Incarnation: "K55N5AKH", Address: "127.0.0.1:1", Domain: "d", Tenure: 1}
	second.elector.current.Store(&successor)
	next, found := first.elector.askPeers(t.Context(), Identity{})
	is.True(found)
	is.Equal(next, successor)
}

// Guards against peers that have left, or that are all lost together with a failure domain.
func TestFollowersKnowPeersOfOtherDomains(t *testing.T) {
	is := is.New(t)
	var followers []*link.Follower
	c := &Coordinator{followers: map[*link.Follower]bool{}}
	for _, name := range []string{"a1", "a2", "a3", "a4", "a5", "b1", "b2", "b3", "b4"} {
		f := &link.Follower{Member: link.Member{Instance: name, Domain: name[:1], Address: name + ":1"}}
		followers = append(followers, f)
		c.followers[f] = true
	}
	told := c.updatePeers()
	for _, f := range followers {
		is.Equal(len(told[f]), maxPeers)
		for _, address := range told[f] {
			is.True(address[:1] != f.Domain)
		}
	}
	is.Equal(len(c.updatePeers()), 0) // nothing has changed
	delete(c.followers, followers[5])
	told = c.updatePeers()
	for _, addresses := range told {
		is.Equal(len(addresses), maxPeers)
		for _, address := range addresses {
			is.True(address != "b1:1")
		}
	}
	is.True(len(told) < len(followers)) // only those who knew it
}
