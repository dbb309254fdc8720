package holder

import (
	"context"
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
	stays []stay
}

func (r *joinRecorder) Join(f *link.Follower) bool {
	r.stays = append(r.stays, stay{f.Instance, f.HolderChanges})
	f.Send(&linkpb.Down{Facts: []*linkpb.Facts{{AgeUs: -1}}})
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
	lease, err := shared.Grant(ctx, leaseTTL)
	is.NoErr(err)
	is.True(shared.ExpireLease(lease)) // the tenure ends with the first renewal
	e.lead(ctx, e.newCandidate(), lease, time.Now(), predecessor{})
	e.follow(ctx, holder, 0)
	cancel()
	is.NoErr(<-served)
	is.Equal(len(former.stays), 3)
	is.Equal(former.stays[0], former.stays[1]) // it was back from no other holder
	is.True(former.stays[2] != former.stays[1])
}
