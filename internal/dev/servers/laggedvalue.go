package servers

import (
	"sync"
	"time"
)

// laggedValue is a value that readers see as it was lag ago.
type laggedValue[T any] struct {
	lag time.Duration

	mu      sync.Mutex
	changes []timedValue[T]
}

func newLaggedValue[T any](lag time.Duration, first T) *laggedValue[T] {
	return &laggedValue[T]{lag: lag, changes: []timedValue[T]{{value: first}}}
}

func (l *laggedValue[T]) set(now time.Time, value T) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.prune(now)
	l.changes = append(l.changes, timedValue[T]{at: now, value: value})
}

func (l *laggedValue[T]) get(now time.Time) T {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.prune(now)
	return l.changes[0].value
}

// prune removes the changes that no reader sees any more.
func (l *laggedValue[T]) prune(now time.Time) {
	for len(l.changes) > 1 && !l.changes[1].at.After(now.Add(-l.lag)) {
		l.changes = l.changes[1:]
	}
}
