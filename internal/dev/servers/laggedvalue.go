package servers

import (
	"sync"
	"time"
)

// lagged holds a value whose readers see it as it was some time ago.
type lagged[T any] struct {
	lag time.Duration

	mu      sync.Mutex
	changes []dated[T]
}

func newLagged[T any](lag time.Duration, first T) *lagged[T] {
	return &lagged[T]{lag: lag, changes: []dated[T]{{value: first}}}
}

func (l *lagged[T]) set(now time.Time, value T) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.prune(now)
	l.changes = append(l.changes, dated[T]{at: now, value: value})
}

func (l *lagged[T]) get(now time.Time) T {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.prune(now)
	return l.changes[0].value
}

// prune drops the changes that no reader sees any more.
func (l *lagged[T]) prune(now time.Time) {
	for len(l.changes) > 1 && !l.changes[1].at.After(now.Add(-l.lag)) {
		l.changes = l.changes[1:]
	}
}
