package entrynode

import (
	"sync"
	"sync/atomic"
)

// otherLabel stands for all values above the bound.
const otherLabel = "other"

// boundedLabels limits the values of a metric label, each of which costs memory at the
// instance and at the monitoring for as long as the process runs. It is safe for concurrent
// use.
type boundedLabels struct {
	limit int64
	known sync.Map // value to struct{}
	count atomic.Int64
}

// of returns the value, or otherLabel for a new value above the bound.
func (b *boundedLabels) of(value string) string {
	if _, known := b.known.Load(value); known {
		return value
	}
	if b.count.Add(1) > b.limit {
		b.count.Add(-1)
		return otherLabel
	}
	if _, loaded := b.known.LoadOrStore(value, struct{}{}); loaded {
		b.count.Add(-1)
	}
	return value
}
