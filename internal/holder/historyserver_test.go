package holder

import (
	"fmt"
	"time"

	"peridotmoor.org/peridotmoor/internal/fleet"
	"peridotmoor.org/peridotmoor/internal/owners"
)

const (
	historyService = "s"
	// historyKeys is the number of keys whose owners a history checks.
	historyKeys    = 16
	historyKeyStep = owners.NumKeys / historyKeys
)

// historyServer is a backend server that checks fences, and whose clock is as slow as allowed.
type historyServer struct {
	name   string
	domain int
	born   int64
	up     bool
	keys   [historyKeys]historyHold
	// listed is the incarnation in the list, if it is there, and usable whether it may get keys.
	listed   fleet.Incarnation
	isListed bool
	usable   bool
}

// historyHold is the state of one key at a server.
type historyHold struct {
	// fence is the highest that the process has seen, and granted the one that it has the key by.
	fence, granted int64
	until          time.Time
}

func (s *historyServer) incarnation() fleet.Incarnation {
	return fleet.Incarnation{Name: s.name, StartMS: s.born}
}

// start begins a new process, which holds nothing and has seen no fence.
func (s *historyServer) start() {
	s.up = true
	s.born++
	s.keys = [historyKeys]historyHold{}
}

// grant applies a grant that arrived at the given time. It returns false if it is fenced.
func (s *historyServer) grant(o owners.Order, arrivedAt time.Time) bool {
	for key := range s.keys {
		if o.Contains(key*historyKeyStep) && s.keys[key].fence > o.Fence {
			return false
		}
	}
	until := arrivedAt.Add(o.GrantDuration * 102 / 100)
	for key := range s.keys {
		if hold := &s.keys[key]; o.Contains(key * historyKeyStep) {
			hold.fence, hold.granted = o.Fence, o.Fence
			if until.After(hold.until) {
				hold.until = until
			}
		}
	}
	return true
}

func (s *historyServer) release(o owners.Order) {
	for key := range s.keys {
		if o.Contains(key * historyKeyStep) {
			s.keys[key].until = time.Time{}
		}
	}
}

// checkOwners returns an error if two servers hold a key at now.
func checkOwners(servers []*historyServer, now time.Time) error {
	for key := range historyKeys {
		var owner *historyServer
		for _, s := range servers {
			if !s.up || !s.keys[key].until.After(now) {
				continue
			}
			if owner != nil {
				a, b := owner.keys[key], s.keys[key]
				return fmt.Errorf("key %d has two owners: %s by fence %d of epoch %d for %v, %s by fence %d of epoch %d for %v", key,
					owner.name, a.granted, a.granted>>20, a.until.Sub(now), s.name, b.granted, b.granted>>20, b.until.Sub(now))
			}
			owner = s
		}
	}
	return nil
}
