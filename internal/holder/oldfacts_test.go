package holder

import (
	"context"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"peridotmoor.org/peridotmoor/internal/facts"
	"peridotmoor.org/peridotmoor/internal/fleet"
	"peridotmoor.org/peridotmoor/internal/link"
	"peridotmoor.org/peridotmoor/internal/link/linkpb"
	"peridotmoor.org/peridotmoor/internal/store"
	"peridotmoor.org/peridotmoor/internal/store/memstore"
)

// maxLeavingTime is how long after the store has acknowledged that a server is leaving it
// may still get requests, by the platform's pages.
const maxLeavingTime = 2 * time.Second

// Guards against facts that are too old for leaving servers because the store is slow and
// does not answer once: the slow read, the failed one and the pause after it added up.
func TestSlowAndFailedReadsDoNotAddUp(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		registry := facts.NewRegistry(nil, nil)
		source := slowSource{duration: 800 * time.Millisecond, losesOne: true, reads: new(atomic.Int64)}
		e := &Elector{registry: registry, reader: facts.NewReader(source, registry, nil)}
		ctx, cancel := context.WithTimeout(t.Context(), 30*time.Second)
		defer cancel()
		done := make(chan struct{})
		go func() {
			defer close(done)
			e.readStorePeriodically(ctx)
		}()
		time.Sleep(time.Second) // the first read
		oldest := time.Duration(0)
		for ctx.Err() == nil {
			age, known := registry.Age(time.Now())
			is.New(t).True(known)
			oldest = max(oldest, age)
			time.Sleep(10 * time.Millisecond)
		}
		<-done
		t.Log("oldest facts:", oldest)
		is.New(t).True(oldest < maxLeavingTime)
	})
}

// starvedClient handles each message long after it has been sent, as an instance without
// processor time does.
type starvedClient struct {
	*fakeClient
	delay time.Duration
}

func (c starvedClient) NewReceiver() (*link.FactsReceiver, func(*linkpb.Down)) {
	receiver, onDown := c.fakeClient.NewReceiver()
	return receiver, func(down *linkpb.Down) {
		time.Sleep(c.delay)
		onDown(down)
	}
}

// outageSource fails from a time on.
type outageSource struct {
	emptySource
	from time.Time
}

func (s outageSource) Listing(context.Context) (fleet.Listing, error) {
	if !time.Now().Before(s.from) {
		return fleet.Listing{}, store.ErrUnavailable
	}
	return fleet.Listing{Servers: []fleet.Server{{Incarnation: fleet.Incarnation{Name: "a"}}}}, nil
}

// Guards against a holder that cannot read the store and yet takes its facts for fresh,
// so that no follower reads in its place: each of its messages to its own instance made
// them younger by the time for which it waited.
func TestHolderDoesNotConfirmItsFactsToItself(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		registry := facts.NewRegistry(nil, nil)
		readUntil := time.Now().Add(3 * time.Second)
		e := NewElector(Options{
			Self: Identity{Name: "entry-1", Incarnation: "K55N5AKH", Address: "127.0.0.1:1"}, Store: memstore.New(), Registry: registry,
			Reader: facts.NewReader(outageSource{from: readUntil}, registry, nil), ProcessorShare: 0.16,
			Client: starvedClient{newFakeClient(registry), link.HeartbeatInterval - 10*time.Millisecond},
		})
		ctx, cancel := context.WithCancel(t.Context())
		done := make(chan struct{})
		go func() {
			defer close(done)
			e.Run(ctx)
		}()
		time.Sleep(time.Until(readUntil) + 3*time.Second)
		age, known := registry.Age(time.Now())
		cancel()
		<-done
		time.Sleep(link.HeartbeatInterval) // until the last message is handled
		t.Log("age:", age)
		is.True(known && age >= 3*time.Second)
	})
}
