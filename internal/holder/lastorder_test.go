package holder

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"peridotmoor.org/peridotmoor/internal/facts"
	"peridotmoor.org/peridotmoor/internal/fleet"
	"peridotmoor.org/peridotmoor/internal/owners"
	"peridotmoor.org/peridotmoor/internal/store/memstore"
)

// slowToEndSender needs a while to end an order that is cancelled.
type slowToEndSender struct {
	sent chan struct{}
	// onEnd is called when an order has ended.
	onEnd func()
}

func (s *slowToEndSender) SendOrder(ctx context.Context, _ fleet.Server, order owners.Order) owners.OrderResult {
	select {
	case s.sent <- struct{}{}:
	default:
	}
	<-ctx.Done()
	time.Sleep(storeTimeout / 3)
	s.onEnd()
	return owners.OrderResult{Order: order, Outcome: owners.OutcomeNoAnswer, Ended: time.Now()}
}

// Guards against a holder that releases its lease, so that a successor is elected, while
// orders of its own are still on their way.
func TestHolderReleasesItsLeaseAfterItsLastOrder(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		shared := memstore.New()
		incarnation := fleet.Incarnation{Name: "a", StartMS: 1}
		earlier := &recordStore{store: shared, tenureName: "earlier"}
		is.NoErr(earlier.write(t.Context(), owners.Record{
			Epoch: 1, Holder: "earlier", Addresses: map[string]string{incarnation.String(): "127.0.0.1:1"},
			Services: map[string][]owners.RecordRange{"s": {{From: 0, To: owners.NumKeys - 1, Owner: "a", StartMS: 1, Fence: 1<<20 + 1}}},
		}))
		var holders []string
		sender := &slowToEndSender{sent: make(chan struct{}, 1), onEnd: func() { holders = append(holders, currentHolder(t, shared)) }}
		registry := facts.NewRegistry(nil, nil)
		e := NewElector(Options{
			Self: Identity{Name: "entry-1", Incarnation: "K55N5AKH", Address: "127.0.0.1:1"}, Store: shared, Registry: registry, OrderSender: sender,
			Reader: facts.NewReader(emptySource{}, registry, nil), Client: newFakeClient(registry), ProcessorShare: 1,
		})
		ctx, end := context.WithCancel(context.Background())
		done := make(chan struct{})
		go func() {
			defer close(done)
			e.Run(ctx)
		}()
		time.Sleep(time.Second)
		c := e.coordinator.Load()
		c.enqueue(func() { c.snapshot = &facts.Snapshot{Config: &fleet.Config{}} }) // grants need facts
		<-sender.sent
		end()
		<-done
		synctest.Wait()
		is.Equal(currentHolder(t, shared), "")
		is.Equal(holders, []string{"entry-1"}) // the holder at the end of each order
	})
}
