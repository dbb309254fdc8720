package membudget

import "testing"

// BenchmarkUsualRequest measures what the account costs a usual request.
func BenchmarkUsualRequest(b *testing.B) {
	a := New(LimitsFor(144 << 20))
	b.ReportAllocs()
	b.RunParallel(func(p *testing.PB) {
		h := a.Open(func() {})
		defer h.Close()
		for p.Next() {
			h.TakeSmall(Requests, 16<<10)
			h.Return(Requests, 16<<10)
		}
	})
}
