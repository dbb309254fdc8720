package facts

import "time"

// rewritePeriod is how long operators and servers may take to write again what the store has
// lost when it came back from an older copy.
const rewritePeriod = 3 * time.Second

// eraStart is when the registry first got facts of an era of the store.
type eraStart struct {
	era uint64
	// at is the zero time for the first era that the registry has facts of.
	at time.Time
}
