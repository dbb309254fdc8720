package holder

import (
	"context"
	"testing"
	"time"

	"github.com/matryer/is"

	"peridotmoor.org/peridotmoor/internal/boottime"
	"peridotmoor.org/peridotmoor/internal/facts"
	"peridotmoor.org/peridotmoor/internal/fleet"
	"peridotmoor.org/peridotmoor/internal/link"
	"peridotmoor.org/peridotmoor/internal/owners"
)

// orderChannel passes on the orders that it should send.
type orderChannel chan owners.Order

func (c orderChannel) SendOrder(_ context.Context, _ fleet.Server, order owners.Order) owners.OrderResult {
	c <- order
	return owners.OrderResult{Order: order, Ended: time.Now()}
}

// Guards against a grant that a holder sends although its machine was suspended, or its
// process stood still, since it had looked whether it still was the holder.
func TestOrdersMustBeSentSoonAfterTheCheckOfTheHolder(t *testing.T) {
	for name, madeAgo := range map[string]time.Duration{"just made": 0, "made before a stop": owners.OrderTimeout} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			incarnation := fleet.Incarnation{Name: "a", StartMS: 1}
			orders := make(orderChannel, 1)
			now := time.Now()
			c := &Coordinator{
				table: owners.NewTable(owners.Record{Epoch: 2, Services: map[string][]owners.RecordRange{"s": {
					{From: 0, To: owners.NumKeys - 1, Owner: "a", StartMS: 1, Fence: 1},
				}}}, "h", now),
				snapshot:        &facts.Snapshot{},
				recordedServers: map[fleet.Incarnation]*fleet.Server{incarnation: {Incarnation: incarnation}},
				followers:       map[*link.Follower]bool{},
				orderSender:     orders,
				queue:           make(chan func(), 1),
				ctx:             t.Context(),
			}
			c.table.MarkStored(c.table.PlanVersion())
			c.leaseConfirmedAt.Store(&now)
			checkedFrom := boottime.Now()
			is.True(c.maySendOrders(now))
			checkedBy := boottime.Now()
			c.sendOrders(now.Add(-madeAgo))
			order := <-orders
			is.True(order.SendBy != 0)
			is.True(order.SendBy <= checkedBy.Add(orderSendTimeout-madeAgo)) // a suspension counts from the check
			if madeAgo > 0 {
				is.True(order.SendBy <= checkedFrom)
			}
		})
	}
}
