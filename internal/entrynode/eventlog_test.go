package entrynode

import (
	"bytes"
	"fmt"
	"slices"
	"sync"

	"peridotmoor.org/peridotmoor/internal/events"
)

// tracedEvents are the events that tell which instance was the holder and what it did
// about the owners of keys.
var tracedEvents = []events.Event{
	events.HolderElected, events.HolderEnded, events.HolderFollowed, events.HolderLost, events.LeaseLost,
	events.LeaseGone, events.HolderKeyUnwritten, events.LeaseUnreleased, events.KeysGranted, events.KeyGrantsEnded,
	events.FollowersChanged, events.HolderWithoutLease, events.OrderWrittenLate,
	events.OwnerRecordStored, events.OwnerRecordFailed, events.OrderEnded, events.MovePlanned, events.InstanceStopping, events.InstanceStopped,
	events.ConfigRefused,
}

// eventLog keeps the log lines of tracedEvents. Each Write is one line.
type eventLog struct {
	mu    sync.Mutex
	lines []string
	// leaks is set if any line, traced or not, has secretPrefix in it.
	leaks bool
}

// secretPrefix begins the API keys of the tests.
const secretPrefix = "secret-key-"

// Write implements io.Writer.
func (l *eventLog) Write(line []byte) (int, error) {
	if bytes.Contains(line, []byte(secretPrefix)) {
		l.mu.Lock()
		l.leaks = true
		l.mu.Unlock()
	}
	if slices.ContainsFunc(tracedEvents, func(e events.Event) bool { return bytes.Contains(line, fmt.Appendf(nil, "%q", e.Name)) }) {
		l.mu.Lock()
		defer l.mu.Unlock()
		l.lines = append(l.lines, string(bytes.TrimSpace(line)))
	}
	return len(line), nil
}

// leaked reports whether a key was in the log.
func (l *eventLog) leaked() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.leaks
}

// traced returns the lines so far.
func (l *eventLog) traced() []string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return slices.Clone(l.lines)
}
