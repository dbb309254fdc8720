package entrynode

import (
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/matryer/is"

	"peridotmoor.org/peridotmoor/internal/holder"
	"peridotmoor.org/peridotmoor/internal/membudget"
	"peridotmoor.org/peridotmoor/internal/placing"
)

// Guards against operators who do not see that requests are refused for want of capacity.
func TestMetricsShowShortages(t *testing.T) {
	is := is.New(t)
	none := func() float64 { return 0 }
	m := newMetrics(none, none, none, none, func() holder.Status {
		return holder.Status{Acting: true, Shortages: map[string]placing.Shortage{"listings": {Refused: 9, Overtaken: 4, Places: 3, Returned: 5, PlacesTaken: 2}}}
	}, membudget.Default())
	response := httptest.NewRecorder()
	m.handler().ServeHTTP(response, httptest.NewRequest("GET", "/metrics", nil))
	for _, line := range []string{"refused_total%9", "overtaken_total%4", "return_places_total%3", "returned_total%5", "return_places_taken_total%2"} {
		is.True(strings.Contains(response.Body.String(), "\nperidotmoor_holder_"+strings.Replace(line, "%", `{service="listings"} `, 1)+"\n"))
	}
}
