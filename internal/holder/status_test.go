package holder

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"peridotmoor.org/peridotmoor/internal/store"
)

// Guards against a holder that goes on without its lease and shows that nowhere, and against
// an instance that seems to be the holder after its tenure.
func TestStatusFollowsTheLeaseAndTheTenure(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		h := startLoggedHolder(t)
		healthy := h.Status(time.Now())
		is.True(healthy.Acting && healthy.SendsOrders)
		is.Equal(healthy.Epoch, int64(1))
		is.True(healthy.LeaseUnconfirmed <= leaseRenewInterval)
		lost := store.ErrUnavailable
		h.store.renew.Store(&lost)
		time.Sleep(maxStoreOutage - time.Second)
		is.True(h.Status(time.Now()).Acting)
		is.True(h.Status(time.Now()).LeaseUnconfirmed > maxStoreOutage-2*time.Second)
		h.coordinator.Load().leaseConfirmedAt.Store(nil) // as after a suspension
		time.Sleep(2 * tickInterval)
		suspended := h.Status(time.Now())
		is.True(suspended.Acting && !suspended.SendsOrders)
		is.True(suspended.LeaseUnconfirmed > maxStoreOutage-2*time.Second)
		h.end()
		is.Equal(h.Status(time.Now()), Status{})
	})
}
