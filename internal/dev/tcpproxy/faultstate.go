package tcpproxy

import "sync/atomic"

// faultState is the fault of a connection with a channel that is closed when the fault
// is replaced. The zero Fault is none.
type faultState struct {
	fault   Fault
	changed chan struct{}
}

// currentFault holds the state that the goroutines of a connection read.
type currentFault struct {
	state atomic.Pointer[faultState]
}

func (c *currentFault) set(fault Fault) {
	if old := c.state.Swap(&faultState{fault: fault, changed: make(chan struct{})}); old != nil {
		close(old.changed)
	}
}

func (c *currentFault) get() *faultState {
	return c.state.Load()
}
