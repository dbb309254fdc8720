package holder

import (
	"time"

	"peridotmoor.org/peridotmoor/internal/link"
)

// stays holds when the stays of instances began. The zero value holds none.
type stays struct {
	began map[stay]time.Time
}

// join returns when the stay of the instance began that joins at now: earlier, if the
// instance is back from no other holder, as after a reset of its link.
func (s *stays) join(f *link.Follower, now time.Time) time.Time {
	key := stay{f.Instance, f.HolderChanges}
	if began, back := s.began[key]; back {
		return began
	}
	if s.began == nil {
		s.began = map[stay]time.Time{}
	}
	s.began[key] = now
	return now
}

// forgetOthers forgets the stays of all instances but the followers.
func (s *stays) forgetOthers(followers map[*link.Follower]bool) {
	if len(s.began) <= len(followers) {
		return
	}
	s.began = map[stay]time.Time{}
	for f := range followers {
		s.began[stay{f.Instance, f.HolderChanges}] = f.JoinedAt
	}
}
