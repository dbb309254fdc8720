package entrynode

import (
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"peridotmoor.org/peridotmoor/internal/holder"
	"peridotmoor.org/peridotmoor/internal/membudget"
)

// Guards against an instance that doesn't show whether it acts as the holder, and against
// values of a lease that there is not.
func TestMetricsShowTheHolder(t *testing.T) {
	is := is.New(t)
	var status holder.Status
	none := func() float64 { return 0 }
	m := newMetrics(none, none, none, none, func() holder.Status { return status }, membudget.Default())
	m.orderWritten(300 * time.Millisecond)
	scrape := func() string {
		response := httptest.NewRecorder()
		m.handler().ServeHTTP(response, httptest.NewRequest("GET", "/metrics", nil))
		return response.Body.String()
	}
	text := scrape()
	is.True(strings.Contains(text, "\nperidotmoor_holder_acting 0\n"))
	is.True(!strings.Contains(text, "peridotmoor_holder_epoch") && !strings.Contains(text, "peridotmoor_holder_lease_unconfirmed_seconds"))
	is.True(strings.Contains(text, `peridotmoor_order_write_delay_seconds_bucket{le="0.2"} 0`))
	is.True(strings.Contains(text, `peridotmoor_order_write_delay_seconds_bucket{le="0.4"} 1`))
	status = holder.Status{Acting: true, Epoch: 7, LeaseUnconfirmed: 2500 * time.Millisecond, SendsOrders: true}
	text = scrape()
	for _, line := range []string{"acting 1", "epoch 7", "lease_unconfirmed_seconds 2.5", "sends_orders 1"} {
		is.True(strings.Contains(text, "\nperidotmoor_holder_"+line+"\n"))
	}
	status.SendsOrders = false
	is.True(strings.Contains(scrape(), "\nperidotmoor_holder_sends_orders 0\n"))
}
