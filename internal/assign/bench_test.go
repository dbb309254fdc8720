package assign

import (
	"fmt"
	"testing"
	"time"
)

// naiveOwners assigns ranges to the usable servers by range index modulo the
// number of servers. It is the baseline of the benchmarks.
func naiveOwners(ranges []Range, servers []Server) []string {
	var usable []string
	for _, s := range servers {
		if s.State.Usable() {
			usable = append(usable, s.Name)
		}
	}
	owners := make([]string, len(ranges))
	for i := range ranges {
		owners[i] = usable[i%len(usable)]
	}
	return owners
}

// BenchmarkPlan measures one plan of a shard without changes (steady), after the
// loss of a server, and the first plan, against the naive assignment.
func BenchmarkPlan(b *testing.B) {
	for _, size := range []struct{ servers, perServer int }{{10, 8}, {20, 8}, {100, 8}, {930, 9}} {
		sim := newSimulationWithRanges(size.servers, size.perServer)
		name := fmt.Sprintf("servers=%d/ranges=%d", size.servers, len(sim.in.Current.Ranges))
		lost := sim.in
		lost.Servers = append([]Server{}, sim.in.Servers...)
		lost.Servers[3].State = Lost
		first := sim.in
		first.Current = Assignment{}
		first.Loads = nil
		for _, test := range []struct {
			name string
			in   Input
		}{{"steady", sim.in}, {"loss", lost}, {"first", first}} {
			b.Run(name+"/"+test.name, func(b *testing.B) {
				b.ReportAllocs()
				for b.Loop() {
					NewPlanner().Plan(test.in)
				}
			})
		}
		b.Run(name+"/naive", func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				naiveOwners(sim.in.Current.Ranges, sim.in.Servers)
			}
		})
	}
}

func newSimulationWithRanges(servers, perServer int) *simulation {
	sim := newSimulation(servers)
	sim.in.Settings.RangesPerServer = perServer
	sim.in.Current = Assignment{}
	sim.step(0)
	sim.in.Loads = make([]float64, len(sim.in.Current.Ranges))
	for i, r := range sim.in.Current.Ranges {
		sim.in.Loads[i] = sim.load(r)
	}
	return sim
}

// BenchmarkChurn measures the share of the ranges that change owner when one
// server or one failure domain goes out of service and returns, within 60 s
// each, against the naive assignment.
func BenchmarkChurn(b *testing.B) {
	for _, servers := range []int{9, 21, 930} {
		for _, domain := range []bool{false, true} {
			b.Run(fmt.Sprintf("servers=%d/domain=%v", servers, domain), func(b *testing.B) {
				for b.Loop() {
					measureChurn(b, servers, domain)
				}
			})
		}
	}
}

func measureChurn(b *testing.B, servers int, domain bool) {
	sim := newSimulationWithRanges(servers, 8)
	ranges := sim.in.Current.Ranges
	affected := 0
	set := func(state ServerState) {
		affected = 0
		for i := range sim.in.Servers {
			if i == 1 || (domain && sim.in.Servers[i].Domain == "d1") {
				sim.in.Servers[i].State = state
				affected++
			}
		}
	}
	naive := naiveOwners(ranges, sim.in.Servers)
	set(OutOfService)
	movedOut := len(sim.run(60 * time.Second))
	naiveOut := naiveOwners(ranges, sim.in.Servers)
	set(InService)
	movedBack := len(sim.run(60 * time.Second))
	count := float64(len(ranges))
	b.ReportMetric(float64(movedOut)/count, "moved-out")
	b.ReportMetric(float64(movedBack)/count, "moved-back")
	b.ReportMetric(changedShare(naive, naiveOut), "naive-out")
	b.ReportMetric(changedShare(naiveOut, naive), "naive-back")
	b.ReportMetric(float64(affected)/float64(servers), "share-gone")
	b.ReportMetric(imbalance(sim.in.Current.Ranges, ownersOf(sim.in.Current), servers, sim.load), "max/mean")
}

func changedShare(a, b []string) float64 {
	count := 0
	for i := range a {
		if a[i] != b[i] {
			count++
		}
	}
	return float64(count) / float64(len(a))
}
