package holder

import (
	"context"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"peridotmoor.org/peridotmoor/internal/facts"
	"peridotmoor.org/peridotmoor/internal/link"
	"peridotmoor.org/peridotmoor/internal/link/linkpb"
	"peridotmoor.org/peridotmoor/internal/store/memstore"
)

// joinRecorder is a holder that ends each link once it has noted the stay of the follower.
type joinRecorder struct {
	mu    sync.Mutex
	stays []stay
}

// take returns the stays noted since the last call.
func (r *joinRecorder) take() []stay {
	r.mu.Lock()
	defer r.mu.Unlock()
	out := r.stays
	r.stays = nil
	return out
}

func (r *joinRecorder) Join(f *link.Follower) bool {
	r.mu.Lock()
	r.stays = append(r.stays, stay{f.Instance, f.HolderChanges})
	r.mu.Unlock()
	f.Send(&linkpb.Down{Facts: []*linkpb.Facts{{}}})
	return true
}

func (r *joinRecorder) Receive(f *link.Follower, _ *linkpb.Up) { f.Disconnect() }
func (r *joinRecorder) Leave(*link.Follower)                   {}
func (r *joinRecorder) Holder() []byte                         { return nil }

// Guards against an instance that counts for two holders: it was the holder itself, counted
// for that among its own followers, and is back at an earlier holder that goes on without the
// store as if it had never left.
func TestInstanceThatWasTheHolderBeginsANewStay(t *testing.T) {
	is := is.New(t)
	ctx, cancel := context.WithCancel(context.Background())
	shared := memstore.New()
	former := &joinRecorder{}
	listener, err := link.Listen(ctx, "127.0.0.1:0")
	is.NoErr(err)
	served := make(chan error, 1)
	go func() { served <- link.NewServer(former).Serve(ctx, listener) }()
	registry := facts.NewRegistry(nil, nil)
	client := newFakeClient(registry)
	e := NewElector(Options{
		Self: Identity{Name: "entry-1", Incarnation: "K55N5AKH", Address: "127.0.0.1:1"}, Store: shared, Registry: registry,
		Reader: facts.NewReader(emptySource{}, registry, nil), Client: client, ProcessorShare: 0.8,
	})
	holder := Identity{Name: "entry-2", Incarnation: "CXBMA3T3", Address: listener.Addr().String()}
	e.plannedStop.begin() // is announced on each link, which the former holder then ends
	e.follow(ctx, holder, 0)
	e.follow(ctx, holder, 0)
	before := former.take()
	lease, err := shared.Grant(ctx, leaseTTL)
	is.NoErr(err)
	is.True(shared.ExpireLease(lease)) // the tenure ends with the first renewal
	e.lead(ctx, e.newCandidate(), lease, time.Now(), suspension{}, predecessor{})
	e.follow(ctx, holder, 0)
	cancel()
	is.NoErr(<-served)
	is.True(len(before) > 1)
	for _, again := range before {
		is.Equal(again, before[0]) // it was back from no other holder
	}
	after := former.take()
	is.True(len(after) > 0)
	for _, later := range after {
		is.True(later != before[0])
	}
}
