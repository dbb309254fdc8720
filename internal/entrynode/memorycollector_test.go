package entrynode

import (
	"testing"

	"github.com/matryer/is"
	"github.com/prometheus/client_golang/prometheus"

	"peridotmoor.org/peridotmoor/internal/membudget"
)

// Guards against a scrape that lacks a kind of memory, or that reports another figure than
// the account has.
func TestMemoryMetrics(t *testing.T) {
	is := is.New(t)
	account := membudget.New(membudget.LimitsFor(144 << 20))
	account.Unattributed().Charge(membudget.ReadAhead, 5)
	account.CountRefusal()
	registry := prometheus.NewRegistry()
	is.NoErr(registry.Register(newMemoryCollector(account)))
	families, err := registry.Gather()
	is.NoErr(err)
	got := map[string]float64{}
	for _, f := range families {
		for _, m := range f.GetMetric() {
			name := f.GetName()
			for _, l := range m.GetLabel() {
				name += "/" + l.GetValue()
			}
			got[name] = m.GetGauge().GetValue() + m.GetCounter().GetValue()
		}
	}
	is.Equal(got, map[string]float64{
		"peridotmoor_connection_memory_held_bytes/requests":        0,
		"peridotmoor_connection_memory_held_bytes/uploads":         0,
		"peridotmoor_connection_memory_held_bytes/response_heads":  0,
		"peridotmoor_connection_memory_held_bytes/response_bodies": 0,
		"peridotmoor_connection_memory_held_bytes/read_ahead":      5,
		"peridotmoor_connection_memory_limit_bytes":                36 << 20,
		"peridotmoor_connection_memory_peak_bytes":                 5,
		"peridotmoor_connections_ended_for_memory_total":           0,
		"peridotmoor_requests_refused_for_memory_total":            1,
	})
}
