package holder

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"peridotmoor.org/peridotmoor/internal/facts"
	"peridotmoor.org/peridotmoor/internal/link"
	"peridotmoor.org/peridotmoor/internal/owners"
)

// Guards against a holder whose machine was suspended, that grants keys beside its
// successor because by its steady clock its lease was confirmed a moment ago.
func TestHolderThatWasSuspendedConfirmsItsLeaseFirst(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	suspended := 5 * time.Second // before the tenure
	c := &Coordinator{registry: facts.NewRegistry(nil, nil), table: owners.NewTable(owners.Record{Epoch: 1}, "h", now), followers: map[*link.Follower]bool{}}
	c.suspension.suspendedFor = func() (time.Duration, bool) { return suspended, true }
	c.leaseConfirmedAt.Store(&now)
	is.True(c.maySendOrders(now.Add(100 * time.Millisecond)))
	suspended += 10 * time.Second
	is.True(!c.maySendOrders(now.Add(101 * time.Millisecond)))
	is.True(!c.maySendOrders(now.Add(150 * time.Millisecond)))
	is.True(!c.exclusive(now.Add(150 * time.Millisecond)))
	confirmed := now.Add(200 * time.Millisecond)
	c.leaseConfirmedAt.Store(&confirmed)
	is.True(c.maySendOrders(now.Add(300 * time.Millisecond)))
}

// Guards against a holder that takes small differences of the clocks, which add up, for a
// suspension.
func TestClocksDifferWithoutASuspension(t *testing.T) {
	is := is.New(t)
	suspended := time.Duration(0)
	s := suspension{suspendedFor: func() (time.Duration, bool) { return suspended, true }}
	is.True(!s.noticed())
	for range 6 {
		suspended += maxTickGap / 7
		is.True(!s.noticed())
	}
	total, known := suspendedSinceBoot()
	is.True(known)
	is.True(total >= 0)
}
