package placing

import "time"

const (
	// maxCrashes is how many servers a request may take down before it is refused.
	maxCrashes = 2
	// crashTTL is how long a crash is remembered; such requests come again within seconds.
	crashTTL = 60 * time.Second
	// maxCrashEntries bounds the memory of crashes.
	maxCrashEntries = 4096
	// minSurvivalDelay the loss of a connection, an answer shows that the server lives:
	// what it had sent before its end has arrived by then.
	minSurvivalDelay = 100 * time.Millisecond
	// maxSurvivalDelay bounds how long an answer shows that. A server that ended is back
	// after some seconds, at times under its old name.
	maxSurvivalDelay = time.Second
)

// crashTracker counts by content how often a request ended with its server's connection.
type crashTracker struct {
	byContent map[uint64]crashCount
}

// record counts a lost answer, or forgets the request when it was answered.
func (c *crashTracker) record(now time.Time, f Completion) {
	switch {
	case f.Outcome == Answered:
		delete(c.byContent, f.ContentHash)
	case f.Outcome == Lost:
		if c.byContent == nil || len(c.byContent) >= maxCrashEntries {
			c.byContent = map[uint64]crashCount{}
		}
		old := c.byContent[f.ContentHash]
		if now.Sub(old.last) > crashTTL {
			old.count = 0
		}
		c.byContent[f.ContentHash] = crashCount{count: old.count + 1, last: now}
	}
}

// retract takes one loss of the request back, as its server lives on.
func (c *crashTracker) retract(mark uint64) {
	if old, ok := c.byContent[mark]; ok && old.count > 0 {
		old.count--
		c.byContent[mark] = old
	}
}

// blocks reports whether the request has taken down too many servers.
func (c *crashTracker) blocks(now time.Time, mark uint64) bool {
	old, ok := c.byContent[mark]
	return ok && old.count >= maxCrashes && now.Sub(old.last) < crashTTL
}
