package backhttp

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// Guards against a server that holds the rest of a request, its connection or a planned stop for
// ever, and against giving up one that is slow.
func TestDeliveryWaitEndsWithoutProgress(t *testing.T) {
	is := is.New(t)
	now := time.Now()
	deadline := now.Add(time.Second)
	w := newDeliveryWait(now, deadline)
	is.True(!w.ended(deadline))
	is.True(!w.ended(now.Add(deliveryStall)))
	w.observe(now.Add(deliveryStall), 1)
	is.True(!w.ended(now.Add(deliveryStall + deliveryStall/2)))
	w.observe(now.Add(deliveryStall+deliveryStall/2), 1) // nothing new
	is.True(w.ended(now.Add(2*deliveryStall + time.Nanosecond)))
	for at := now; at.Before(deadline.Add(deliveryLimit)); at = at.Add(time.Second) {
		w.observe(at, w.acked+1)
		is.True(!w.ended(at))
	}
	is.True(w.ended(deadline.Add(deliveryLimit + time.Nanosecond)))

	long := newDeliveryWait(now, now.Add(time.Hour))
	is.True(!long.ended(now.Add(time.Hour))) // the server may pause until the deadline
	is.True(long.ended(now.Add(time.Hour + time.Nanosecond)))
}
