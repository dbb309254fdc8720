package record

import (
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"peridotmoor.org/peridotmoor/internal/request"
)

// lockedTable is the plain version: a map under a mutex.
type lockedTable struct {
	mu      sync.Mutex
	records map[identity]bool
}

func (t *lockedTable) begin(id identity) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.records[id] = true
}

func (t *lockedTable) conclude(id identity) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.records[id] = false
}

func benchIDs(b *testing.B) []string {
	now := time.Now()
	ids := make([]string, b.N)
	for i := range ids {
		ids[i] = testID(now, uint32(i))
	}
	return ids
}

// BenchmarkTableNew begins and concludes requests that are not known yet.
func BenchmarkTableNew(b *testing.B) {
	ids := benchIDs(b)
	table := NewTable(Options{MaxRecords: 1 << 40}, nil, time.UnixMilli(1))
	now := time.Now()
	answer := &request.Answer{Status: 200}
	var next atomic.Int64
	b.ReportAllocs()
	b.ResetTimer()
	b.RunParallel(func(pb *testing.PB) {
		for pb.Next() {
			run := table.Begin("k", ids[next.Add(1)-1], 1, now).Execution
			table.Conclude(run, AnsweredRecord(run, answer, nil, false))
		}
	})
}

// BenchmarkTableResend begins requests whose answer is kept.
func BenchmarkTableResend(b *testing.B) {
	now := time.Now()
	id := testID(now, 1)
	table := NewTable(Options{}, nil, time.UnixMilli(1))
	run := table.Begin("k", id, 1, now).Execution
	table.Conclude(run, AnsweredRecord(run, &request.Answer{Status: 200}, []byte("x"), true))
	b.ReportAllocs()
	b.RunParallel(func(pb *testing.PB) {
		for pb.Next() {
			table.Begin("k", id, 1, now)
		}
	})
}

// BenchmarkTableNewMutex is the plain version, without IDs, ages and joins.
func BenchmarkTableNewMutex(b *testing.B) {
	ids := benchIDs(b)
	table := &lockedTable{records: map[identity]bool{}}
	var next atomic.Int64
	b.ReportAllocs()
	b.ResetTimer()
	b.RunParallel(func(pb *testing.PB) {
		for pb.Next() {
			id := identity{"k", ids[next.Add(1)-1]}
			table.begin(id)
			table.conclude(id)
		}
	})
}
