package holder

import (
	"context"
	"sync/atomic"
	"testing"

	"github.com/matryer/is"

	"peridotmoor.org/peridotmoor/internal/facts"
	"peridotmoor.org/peridotmoor/internal/link"
	"peridotmoor.org/peridotmoor/internal/link/linkpb"
	"peridotmoor.org/peridotmoor/internal/store/memstore"
)

// endingHolder is a holder whose tenure ends once its follower has heard of it.
type endingHolder struct {
	store *memstore.Store
	// heard is closed when the follower has received a message.
	heard chan struct{}
	joins atomic.Int64
}

func (h *endingHolder) Join(f *link.Follower) bool {
	if h.joins.Add(1) > 1 {
		return false
	}
	f.Send(&linkpb.Down{Facts: []*linkpb.Facts{{}}})
	go func() {
		<-h.heard
		h.store.Delete(KeyHolder)
		f.Disconnect()
	}()
	return true
}

func (h *endingHolder) Receive(*link.Follower, *linkpb.Up) {}
func (h *endingHolder) Leave(*link.Follower)               {}
func (h *endingHolder) Holder() []byte                     { return nil }

// Guards against an instance that takes the end of a tenure for a rejection because it
// joined shortly before: it tried to join the former holder for 0.5 s, while a weaker
// machine was elected.
func TestFollowerLooksForTheNextHolderAtOnce(t *testing.T) {
	is := is.New(t)
	ctx, cancel := context.WithCancel(context.Background())
	shared := memstore.New()
	former := &endingHolder{store: shared, heard: make(chan struct{})}
	listener, err := link.Listen(ctx, "127.0.0.1:0")
	is.NoErr(err)
	served := make(chan error, 1)
	go func() { served <- link.NewServer(former).Serve(ctx, listener) }()
	key, err := Identity{Name: "entry-2", Incarnation: "CXBMA3T3", Address: listener.Addr().String()}.encode()
	is.NoErr(err)
	shared.Put(KeyHolder, key)

	registry := facts.NewRegistry(nil, nil)
	client := newFakeClient(registry)
	client.onMessage = func() { close(former.heard) }
	e := NewElector(Options{
		Self: Identity{Name: "entry-1", Incarnation: "K55N5AKH", Address: "127.0.0.1:1"}, Store: shared, Registry: registry,
		Reader: facts.NewReader(emptySource{}, registry, nil), Client: client, ProcessorShare: 0.8,
	})
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		e.Run(ctx)
	}()
	<-former.heard
	for revision := uint64(0); currentHolder(t, shared) != "entry-1"; {
		entry, _ := shared.Watch(ctx, KeyHolder, revision) // fails when the former holder's key is deleted
		revision = entry.Revision
	}
	is.Equal(former.joins.Load(), int64(1))
	cancel()
	<-ended
	is.NoErr(<-served)
}
