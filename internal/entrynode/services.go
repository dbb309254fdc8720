package entrynode

import "net"

// services is what a running instance has started and a planned stop has to end.
type services struct {
	// callers is the listener for callers; callersDone is closed once no further
	// connection is accepted from it.
	callers     net.Listener
	callersDone chan struct{}
	// stopElector ends the elector, and electorDone is closed once it has ended.
	stopElector func()
	electorDone chan struct{}
}
