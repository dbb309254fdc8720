package quorum

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// follower returns an instance that has followed the holder since before the lease was
// confirmed at now, and has just proved it.
func follower(name string, now time.Time) Follower {
	return Follower{Name: name, JoinedAt: now.Add(-time.Second), ProvedAt: now}
}

// Guards against a holder that counts a larger fleet than its successor finds: the write of
// a smaller one had no answer, and may have taken effect.
func TestFleetThatMayBeStoredCounts(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	tracker := NewTracker(Fleet{"a", "b", "c", "d"})
	followers := []Follower{follower("b", now), follower("c", now), follower("d", now)}
	is.Equal(tracker.RetainedShare(now, now, followers), 0.75)
	tracker.Propose(Fleet{"a", "b"})
	is.Equal(tracker.RetainedShare(now, now, followers), 0.5)
	tracker.Propose(Fleet{"a", "b", "c", "d"})
	is.Equal(tracker.RetainedShare(now, now, followers), 0.5) // the earlier write may still be the one that is stored
	tracker.Confirm(Fleet{"a", "b", "c", "d"})
	is.Equal(tracker.RetainedShare(now, now, followers), 0.75)
}

// Guards against a holder that counts an instance which has joined its successor.
func TestFollowerCountsOnlyIfItCannotHaveJoinedASuccessor(t *testing.T) {
	now := time.Unix(1000, 0)
	confirmed := now.Add(-3 * time.Second)
	for name, tc := range map[string]struct {
		follower Follower
		counts   bool
	}{
		"joined before the lease was confirmed": {Follower{Name: "a", JoinedAt: confirmed, ProvedAt: now}, true},
		"joined later":                          {Follower{Name: "a", JoinedAt: confirmed.Add(1), ProvedAt: now}, false},
		"has answered long ago":                 {Follower{Name: "a", JoinedAt: confirmed, ProvedAt: now.Add(-ProofValidity - 1)}, false},
		"has never answered":                    {Follower{Name: "a", JoinedAt: confirmed}, false},
		"is not of the fleet":                   {Follower{Name: "b", JoinedAt: confirmed, ProvedAt: now}, false},
		"the holder's own instance":             {Follower{Name: "a", JoinedAt: now, Local: true}, true},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			tracker := NewTracker(Fleet{"a"})
			is.Equal(tracker.RetainedShare(now, confirmed, []Follower{tc.follower}) == 1, tc.counts)
		})
	}
}

// Guards against a holder and a successor that both have their share, and against one that
// relies on a fleet that it does not know.
func TestSharesExcludeEachOther(t *testing.T) {
	is := is.New(t)
	for size := 1; size <= 40; size++ {
		fleet := Fleet{}
		for n := range size {
			fleet = append(fleet, string(rune('a'+n)))
		}
		for retained := range size + 1 {
			joined := map[string]bool{}
			for _, name := range fleet[retained:] {
				joined[name] = true
			}
			if Retained(float64(retained)/float64(size)) && ExcludesPredecessors(fleet, joined) {
				t.Fatalf("of %d instances, %d let the holder go on and %d exclude it", size, retained, size-retained)
			}
		}
	}
	unknown := NewTracker(nil)
	is.True(!Retained(unknown.RetainedShare(time.Unix(1000, 0), time.Unix(1000, 0), []Follower{{Name: "a", Local: true}})))
	is.True(!ExcludesPredecessors(nil, map[string]bool{"a": true}))
}
