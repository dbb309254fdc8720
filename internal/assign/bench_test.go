package assign

import (
	"fmt"
	"testing"
	"time"
)

// naiveOwners deals ranges to the usable servers by number, as a recomputation
// by modulo does. It is the baseline of this file.
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

// BenchmarkPlan measures one plan of a shard in service (steady), after the loss
// of a server, and the first plan, against the naive recomputation.
func BenchmarkPlan(b *testing.B) {
	for _, size := range []struct{ servers, perServer int }{{10, 8}, {20, 8}, {100, 8}, {930, 9}} {
		s := newBenchOf(size.servers, size.perServer)
		name := fmt.Sprintf("servers=%d/ranges=%d", size.servers, len(s.in.Current.Ranges))
		lost := s.in
		lost.Servers = append([]Server{}, s.in.Servers...)
		lost.Servers[3].State = Lost
		first := s.in
		first.Current = Assignment{}
		first.Loads = nil
		for _, test := range []struct {
			name string
			in   Input
		}{{"steady", s.in}, {"loss", lost}, {"first", first}} {
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
				naiveOwners(s.in.Current.Ranges, s.in.Servers)
			}
		})
	}
}

func newBenchOf(servers, perServer int) *bench {
	b := newBench(servers)
	b.in.Settings.RangesPerServer = perServer
	b.in.Current = Assignment{}
	b.step(0)
	b.in.Loads = make([]float64, len(b.in.Current.Ranges))
	for i, r := range b.in.Current.Ranges {
		b.in.Loads[i] = b.load(r)
	}
	return b
}

// BenchmarkChurn measures the share of the ranges that change owner when one
// server or one failure domain leaves and returns, within 60 s each, against the
// naive recomputation by modulo.
func BenchmarkChurn(b *testing.B) {
	for _, servers := range []int{9, 21, 930} {
		for _, domain := range []bool{false, true} {
			b.Run(fmt.Sprintf("servers=%d/domain=%v", servers, domain), func(b *testing.B) {
				for b.Loop() {
					churn(b, servers, domain)
				}
			})
		}
	}
}

func churn(b *testing.B, servers int, domain bool) {
	s := newBenchOf(servers, 8)
	ranges := s.in.Current.Ranges
	gone := 0
	set := func(state ServerState) {
		gone = 0
		for i := range s.in.Servers {
			if i == 1 || (domain && s.in.Servers[i].Domain == "d1") {
				s.in.Servers[i].State = state
				gone++
			}
		}
	}
	naive := naiveOwners(ranges, s.in.Servers)
	set(OutOfService)
	left := len(s.run(60 * time.Second))
	naiveOut := naiveOwners(ranges, s.in.Servers)
	set(InService)
	returned := len(s.run(60 * time.Second))
	count := float64(len(ranges))
	b.ReportMetric(float64(left)/count, "moved-out")
	b.ReportMetric(float64(returned)/count, "moved-back")
	b.ReportMetric(differ(naive, naiveOut), "naive-out")
	b.ReportMetric(differ(naiveOut, naive), "naive-back")
	b.ReportMetric(float64(gone)/float64(servers), "share-gone")
	b.ReportMetric(imbalance(s.in.Current.Ranges, ownersOf(s.in.Current), servers, s.load), "max/mean")
}

func differ(a, b []string) float64 {
	count := 0
	for i := range a {
		if a[i] != b[i] {
			count++
		}
	}
	return float64(count) / float64(len(a))
}
