package entrynode

import (
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"peridotmoor.org/peridotmoor/internal/holder"
	"peridotmoor.org/peridotmoor/internal/link"
	"peridotmoor.org/peridotmoor/internal/membudget"
)

// Guards against a holder at its limits that operators cannot tell from another one.
func TestMetricsShowTheLoadOfTheHolder(t *testing.T) {
	is := is.New(t)
	none := func() float64 { return 0 }
	m := newMetrics(none, none, none, none, func() holder.Status { return holder.Status{} }, membudget.Default())
	m.registry.MustRegister(newFleetCollector(func() holder.Load { return holder.Load{Followers: 298, Transferring: 3, QueuedEvents: 4, Probes: 5} }, func() uint64 { return 6 }, &link.Traffic{}))
	m.eventDelayed(200 * time.Millisecond)
	response := httptest.NewRecorder()
	m.handler().ServeHTTP(response, httptest.NewRequest("GET", "/metrics", nil))
	text := response.Body.String()
	for _, line := range []string{"followers 298", "listing_transfers 3", "queued_events 4", "probes 5", "joins_total 6", `sent_bytes_total{kind="listing_parts"} 0`, `event_delay_seconds_bucket{le="0.12"} 0`, `event_delay_seconds_bucket{le="0.25"} 1`} {
		is.True(strings.Contains(text, "\nperidotmoor_holder_"+line+"\n"))
	}
}
