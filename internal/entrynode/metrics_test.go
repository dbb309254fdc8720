package entrynode

import (
	"fmt"
	"testing"

	"github.com/matryer/is"

	"peridotmoor.org/peridotmoor/internal/holder"
	"peridotmoor.org/peridotmoor/internal/membudget"
)

// Guards against a configuration with thousands of teams that fills the memory of the
// instance and of whoever collects its metrics, and against refusals that are not counted.
func TestTeamLabelsAreBounded(t *testing.T) {
	is := is.New(t)
	zero := func() float64 { return 0 }
	m := newMetrics(zero, zero, zero, zero, func() holder.Status { return holder.Status{} }, membudget.Default())
	for range 2 {
		for n := range 500 {
			m.CapRefused(fmt.Sprint("team", n))
		}
	}
	families, err := m.registry.Gather()
	is.NoErr(err)
	labels, sum := 0, 0.0
	for _, family := range families {
		if family.GetName() != "peridotmoor_team_cap_refusals_total" {
			continue
		}
		for _, metric := range family.GetMetric() {
			labels++
			sum += metric.GetCounter().GetValue()
		}
	}
	is.Equal(labels, maxTeamLabels+1) // and the one for all others
	is.Equal(sum, 1000.0)
}
