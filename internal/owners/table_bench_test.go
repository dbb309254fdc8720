package owners

import (
	"fmt"
	"testing"
	"time"
)

// BenchmarkDue measures TakeDueOrders for 200 servers while the ranges of 40 unlisted ones move
// and all other ranges are being renewed.
func BenchmarkDue(b *testing.B) {
	now := time.Unix(1000, 0)
	var all []string
	for i := range 200 {
		all = append(all, fmt.Sprintf("s%03d", i))
	}
	table := NewTable(Record{Epoch: 1}, "holder", now)
	table.Plan(now.Add(-firstPlanDelay), service, candidates(all...), uniformRates{})
	table.Plan(now, service, candidates(all...), uniformRates{})
	table.MarkStored(table.PlanVersion())
	for _, o := range table.TakeDueOrders(now, listing(all...)) {
		table.Apply(OrderResult{Order: o, Outcome: OutcomeDone, Ended: now})
	}
	now = now.Add(renewInterval)
	table.TakeDueOrders(now, listing(all...))
	table.Plan(now, service, candidates(all[40:]...), uniformRates{})
	table.MarkStored(table.PlanVersion())
	remaining := listing(all[40:]...)
	for b.Loop() {
		table.TakeDueOrders(now, remaining)
	}
}

// rateTable holds a rate for each key, as placing.KeyRates does.
type rateTable [NumKeys]float32

func (r *rateTable) Rate(key int) float64 { return float64(r[key]) }

// BenchmarkPlan measures Plan for 200 servers with 1,400 requests/s.
func BenchmarkPlan(b *testing.B) {
	now := time.Unix(1000, 0)
	var all []string
	for i := range 200 {
		all = append(all, fmt.Sprintf("s%03d", i))
	}
	rates := &rateTable{}
	for k := range rates {
		rates[k] = 1400.0 / NumKeys
	}
	table := NewTable(Record{Epoch: 1}, "holder", now)
	table.Plan(now.Add(-firstPlanDelay), service, candidates(all...), rates)
	table.Plan(now, service, candidates(all...), rates)
	for b.Loop() {
		table.Plan(now, service, candidates(all...), rates)
	}
}
