package dispatch

import (
	"context"
	"testing"
	"time"

	"peridotmoor.org/peridotmoor/internal/authority"
	"peridotmoor.org/peridotmoor/internal/request"
)

func respondImmediately(_ context.Context, s *fakeServer, r *request.Request) (*request.Response, error) {
	return s.textResponse(r.ID, "ok"), nil
}

// BenchmarkDispatchIdempotent measures an idempotent request at the holder, without
// network and events. BenchmarkFakeServer gives the share of the fake server.
func BenchmarkDispatchIdempotent(b *testing.B) {
	benchmarkDispatch(b, true)
}

// BenchmarkDispatchRecorded measures a non-idempotent request, with its record and the
// copies to two mirrors in memory.
func BenchmarkDispatchRecorded(b *testing.B) {
	benchmarkDispatch(b, false)
}

func benchmarkDispatch(b *testing.B, idempotent bool) {
	server := newFakeServer("bosho-01", newRunLog(), respondImmediately)
	network, witnesses := newFakeNetwork(), &fakeWitnesses{}
	network.delay = 0
	for i := range 3 {
		network.add(instance(i))
	}
	token := authority.Token{Epoch: 1, Ballot: 1}
	witnesses.promise(token)
	h := startHolder(holderOptions{
		self: instance(0), token: token, network: network, witnesses: witnesses, firstTenure: true, keyed: true,
		candidates: []authority.Instance{instance(1), instance(2)}, slots: 4000, servers: []*fakeServer{server},
	})
	defer network.close()
	defer h.close()
	for len(h.table.Mirrors()) < 2 {
		time.Sleep(10 * time.Millisecond)
	}
	b.ReportAllocs()
	b.ResetTimer()
	b.RunParallel(func(pb *testing.PB) {
		for pb.Next() {
			r := newRequest(idempotent)
			if _, err := h.handle(context.Background(), r); err != nil {
				b.Error(err)
				return
			}
		}
	})
}

// BenchmarkFakeServer measures the part of the other benchmarks that is spent in the
// fake server.
func BenchmarkFakeServer(b *testing.B) {
	server := newFakeServer("bosho-01", newRunLog(), respondImmediately)
	b.ReportAllocs()
	b.RunParallel(func(pb *testing.PB) {
		for pb.Next() {
			r := newRequest(true)
			response, err := server.nextBehaviour()(context.Background(), server, r)
			if err != nil || response == nil {
				b.Error(err)
				return
			}
		}
	})
}
