package holder

import (
	"context"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/pkg/errors"

	"peridotmoor.org/peridotmoor/internal/facts"
	"peridotmoor.org/peridotmoor/internal/fleet"
	"peridotmoor.org/peridotmoor/internal/link"
	"peridotmoor.org/peridotmoor/internal/owners"
)

// contextChannel passes on the contexts of the orders that it should send, which are not
// answered.
type contextChannel chan context.Context

func (c contextChannel) SendOrder(ctx context.Context, _ fleet.Server, order owners.Order) owners.OrderResult {
	c <- ctx
	<-ctx.Done()
	return owners.OrderResult{Order: order, Outcome: owners.OutcomeNoAnswer, Ended: time.Now()}
}

// Guards against a grant whose delivery goes on after a suspension of the machine, before
// the holder knows that it is one still.
func TestSuspensionEndsOrdersInProgress(t *testing.T) {
	is := is.New(t)
	incarnation := fleet.Incarnation{Name: "a", StartMS: 1}
	contexts := make(contextChannel, 1)
	now := time.Now()
	suspended := time.Duration(0)
	c := &Coordinator{
		table: owners.NewTable(owners.Record{Epoch: 2, Services: map[string][]owners.RecordRange{"s": {
			{From: 0, To: owners.NumKeys - 1, Owner: "a", StartMS: 1, Fence: 1},
		}}}, "h", now),
		snapshot:        &facts.Snapshot{},
		recordedServers: map[fleet.Incarnation]*fleet.Server{incarnation: {Incarnation: incarnation}},
		followers:       map[*link.Follower]bool{},
		orderSender:     contexts,
		queue:           make(chan func(), 2),
		ctx:             t.Context(),
		registry:        facts.NewRegistry(nil, nil),
		suspension:      suspension{suspendedFor: func() (time.Duration, bool) { return suspended, true }},
	}
	c.leaseConfirmedAt.Store(&now)
	is.True(c.maySendOrders(now))
	c.sendOrders(now)
	first := <-contexts
	suspended = time.Minute
	is.True(!c.maySendOrders(now))
	c.orderCalls.Wait()
	is.True(errors.Is(first.Err(), context.Canceled)) // not at its deadline
	(<-c.queue)()
	c.leaseConfirmedAt.Store(&now)
	is.True(c.maySendOrders(now))
	c.sendOrders(now.Add(owners.OrderTimeout))
	is.True(!errors.Is((<-contexts).Err(), context.Canceled)) // the next orders are sent
	c.abortOrders()
	c.orderCalls.Wait()
}
