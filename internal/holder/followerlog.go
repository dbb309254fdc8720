package holder

import (
	"maps"
	"slices"
	"time"

	"peridotmoor.org/peridotmoor/internal/events"
	"peridotmoor.org/peridotmoor/internal/link"
)

const (
	// followerLogInterval is the least time between two lines about the followers.
	followerLogInterval = time.Second
	// maxLoggedNames bounds the instances that a line names, to about 3 KB.
	maxLoggedNames = 100
)

// followerLog collects the instances that join and leave a holder, so that the log tells who
// followed which holder when. The zero value is ready for use.
type followerLog struct {
	// changes are the changes since the last line, in their order, +INSTANCE and -INSTANCE.
	changes  []string
	omitted  int
	loggedAt time.Time
}

func (l *followerLog) joined(f *link.Follower) { l.add("+" + f.Instance) }
func (l *followerLog) left(f *link.Follower)   { l.add("-" + f.Instance) }

func (l *followerLog) add(change string) {
	if len(l.changes) == maxLoggedNames {
		l.omitted++
		return
	}
	l.changes = append(l.changes, change)
}

// due reports whether a line may be written at now.
func (l *followerLog) due(now time.Time) bool {
	return len(l.changes) > 0 && now.Sub(l.loggedAt) >= followerLogInterval
}

// logFollowers logs how the followers have changed and who they are.
func (c *Coordinator) logFollowers(now time.Time) {
	l := &c.followerLog
	names := map[string]bool{}
	for f := range c.followers {
		names[f.Instance] = true
	}
	c.log.Emit(events.FollowersChanged, "epoch", c.epoch, "followers", len(names), "changes", append([]string{}, l.changes...), "omitted", l.omitted, "names", loggedNames(names))
	*l = followerLog{loggedAt: now}
}

// loggedNames returns the names in order, the first of them if they are many.
func loggedNames(names map[string]bool) []string {
	sorted := slices.Sorted(maps.Keys(names))
	return sorted[:min(len(sorted), maxLoggedNames)]
}
