package caller

import "sync"

// Log holds the attempts of all callers.
type Log struct {
	mu       sync.Mutex
	attempts []*Attempt
}

func (l *Log) add(a *Attempt) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.attempts = append(l.attempts, a)
}

// Attempts returns the attempts that have ended, in the order of their ends.
func (l *Log) Attempts() []*Attempt {
	l.mu.Lock()
	defer l.mu.Unlock()
	return append([]*Attempt{}, l.attempts...)
}
