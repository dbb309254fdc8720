package shard

import (
	"context"
	"sync"
	"time"

	"peridotmoor.org/peridotmoor/internal/assign"
	"peridotmoor.org/peridotmoor/internal/store"
)

// fakeStore keeps one assignment. While it is down, Load returns the copy that a
// witness keeps, as the contract of AssignmentStore says.
type fakeStore struct {
	mu         sync.Mutex
	down       bool
	latency    time.Duration
	assignment assign.Assignment
	writes     int
}

func (s *fakeStore) Load(context.Context) (assign.Assignment, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.assignment.Clone(), nil
}

func (s *fakeStore) Commit(_ context.Context, next assign.Assignment) error {
	s.mu.Lock()
	latency := s.latency
	s.mu.Unlock()
	time.Sleep(latency)
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.down {
		return store.ErrUnavailable
	}
	s.assignment = next.Clone()
	s.writes++
	return nil
}

func (s *fakeStore) setDown(down bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.down = down
}

func (s *fakeStore) setLatency(latency time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.latency = latency
}

func (s *fakeStore) committed() (assign.Assignment, int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.assignment.Clone(), s.writes
}

// setAssignment replaces the assignment, as when only an older copy can be read.
func (s *fakeStore) setAssignment(older assign.Assignment) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.assignment = older.Clone()
}
