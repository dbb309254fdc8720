package holder

import (
	"context"
	"testing"

	"github.com/matryer/is"

	"peridotmoor.org/peridotmoor/internal/facts"
	"peridotmoor.org/peridotmoor/internal/link"
	"peridotmoor.org/peridotmoor/internal/link/linkpb"
	"peridotmoor.org/peridotmoor/internal/store/memstore"
)

// silentHolder accepts links and sends nothing, as an overloaded instance may.
type silentHolder struct{}

func (silentHolder) Join(*link.Follower) bool           { return true }
func (silentHolder) Receive(*link.Follower, *linkpb.Up) {}
func (silentHolder) Leave(*link.Follower)               {}
func (silentHolder) Holder() []byte                     { return nil }

// Guards against an instance that has just started and never learns the configuration,
// because the holder that it follows sends nothing.
func TestNewInstanceReadsTheStoreIfTheHolderSendsNothing(t *testing.T) {
	is := is.New(t)
	ctx, cancel := context.WithCancel(context.Background())
	listener, err := link.Listen(ctx, "127.0.0.1:0")
	is.NoErr(err)
	served := make(chan error, 1)
	go func() { served <- link.NewServer(silentHolder{}).Serve(ctx, listener) }()
	key, err := Identity{Name: "entry-2", Incarnation: "CXBMA3T3", Address: listener.Addr().String()}.encode()
	is.NoErr(err)
	shared := memstore.New()
	shared.Put(KeyHolder, key)

	source := recordingSource{reads: make(chan struct{}, 1)}
	registry := facts.NewRegistry(nil, nil)
	e := NewElector(Options{
		Self: Identity{Name: "entry-1", Incarnation: "K55N5AKH", Address: "127.0.0.1:1"}, Store: shared, Registry: registry,
		Reader: facts.NewReader(source, registry, nil), Client: newFakeClient(registry), ProcessorShare: 0.8,
	})
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		e.Run(ctx)
	}()
	<-source.reads
	cancel()
	<-ended
	is.NoErr(<-served)
}
