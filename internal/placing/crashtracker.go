package placing

import "time"

const (
	// maxCrashes is how many servers a request may crash before it is refused.
	maxCrashes = 2
	// crashTTL is how long a crash counts; callers repeat such requests within seconds.
	crashTTL = 60 * time.Second
	// maxCrashEntries bounds the number of request contents that are tracked.
	maxCrashEntries = 4096
	// minSurvivalDelay is the time after a lost connection from which on a response
	// proves that the server survived: responses sent before a crash have arrived by then.
	minSurvivalDelay = 100 * time.Millisecond
	// maxSurvivalDelay is the time after which a response no longer proves it: a server
	// that crashed restarts within some seconds, possibly under the same name.
	maxSurvivalDelay = time.Second
)

// crashTracker counts, by request content, the attempts that ended with a lost
// connection, each of which suggests that the request crashed the server.
type crashTracker struct {
	byContent map[uint64]crashCount
}

// record counts a lost attempt, and resets the count when the request was answered.
func (c *crashTracker) record(now time.Time, completion Completion) {
	switch {
	case completion.Outcome == Answered:
		delete(c.byContent, completion.ContentHash)
	case completion.Outcome == Lost:
		if c.byContent == nil || len(c.byContent) >= maxCrashEntries {
			c.byContent = map[uint64]crashCount{}
		}
		old := c.byContent[completion.ContentHash]
		if now.Sub(old.last) > crashTTL {
			old.count = 0
		}
		c.byContent[completion.ContentHash] = crashCount{count: old.count + 1, last: now}
	}
}

// retract uncounts one lost attempt, as its server has survived.
func (c *crashTracker) retract(contentHash uint64) {
	if old, ok := c.byContent[contentHash]; ok && old.count > 0 {
		old.count--
		c.byContent[contentHash] = old
	}
}

// blocks reports whether a request has crashed too many servers to be run again.
func (c *crashTracker) blocks(now time.Time, contentHash uint64) bool {
	old, ok := c.byContent[contentHash]
	return ok && old.count >= maxCrashes && now.Sub(old.last) < crashTTL
}
