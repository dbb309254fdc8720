package entrynode

import (
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/matryer/is"

	"peridotmoor.org/peridotmoor/internal/holder"
	"peridotmoor.org/peridotmoor/internal/membudget"
)

// Guards against hedges that operators cannot see or tell apart.
func TestMetricsShowHedges(t *testing.T) {
	is := is.New(t)
	zero := func() float64 { return 0 }
	m := newMetrics(zero, zero, zero, zero, func() holder.Status { return holder.Status{} }, membudget.Default())
	m.hedges.HedgeSent("yoyaku")
	m.hedges.HedgeSent("yoyaku")
	m.hedges.HedgeWon("yoyaku")
	m.hedges.HedgeRefused("shashin")
	page := httptest.NewRecorder()
	m.handler().ServeHTTP(page, httptest.NewRequest("GET", "/metrics", nil))
	for _, line := range []string{
		`peridotmoor_hedges_total{result="sent",service="yoyaku"} 2`,
		`peridotmoor_hedges_total{result="won",service="yoyaku"} 1`,
		`peridotmoor_hedges_total{result="refused",service="shashin"} 1`,
	} {
		is.True(strings.Contains(page.Body.String(), line))
	}
}
