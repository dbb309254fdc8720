package record

import (
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"peridotmoor.org/peridotmoor/internal/request"
)

// mutexTable is the baseline of the benchmarks: a map under a mutex.
type mutexTable struct {
	mu      sync.Mutex
	records map[identity]bool
}

func (t *mutexTable) begin(id identity) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.records[id] = true
}

func (t *mutexTable) conclude(id identity) {
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

// BenchmarkTableNew begins and concludes requests without a record.
func BenchmarkTableNew(b *testing.B) {
	ids := benchIDs(b)
	table := NewTable(Options{MaxRecords: 1 << 40}, nil, time.UnixMilli(1))
	now := time.Now()
	response := &request.Response{Status: 200}
	var next atomic.Int64
	b.ReportAllocs()
	b.ResetTimer()
	b.RunParallel(func(pb *testing.PB) {
		for pb.Next() {
			execution := table.Begin("k", ids[next.Add(1)-1], 1, now).Execution
			table.Conclude(execution, AnsweredRecord(execution, response, nil, false))
		}
	})
}

// BenchmarkTableResend begins requests with a recorded response.
func BenchmarkTableResend(b *testing.B) {
	now := time.Now()
	id := testID(now, 1)
	table := NewTable(Options{}, nil, time.UnixMilli(1))
	execution := table.Begin("k", id, 1, now).Execution
	table.Conclude(execution, AnsweredRecord(execution, &request.Response{Status: 200}, []byte("x"), true))
	b.ReportAllocs()
	b.RunParallel(func(pb *testing.PB) {
		for pb.Next() {
			table.Begin("k", id, 1, now)
		}
	})
}

// BenchmarkTableNewMutex is the baseline, without parsing of IDs, expiry and joins.
func BenchmarkTableNewMutex(b *testing.B) {
	ids := benchIDs(b)
	table := &mutexTable{records: map[identity]bool{}}
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
