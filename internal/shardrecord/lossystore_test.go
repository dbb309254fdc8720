package shardrecord

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"peridotmoor.org/peridotmoor/internal/store"
)

// lossyStore is a store of one key that loses responses before or after the
// change took effect, delays writes until after their response, and is sometimes
// unavailable.
type lossyStore struct {
	mu              sync.Mutex
	random          *rand.Rand
	value           []byte
	currentRevision uint64
	// delayed holds writes that take effect after their caller got ErrUncertain.
	delayed []func()
	faults  bool
	writes  int
}

func (s *lossyStore) Get(context.Context, string) (store.Entry, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.deliverDelayed()
	if s.currentRevision == 0 {
		return store.Entry{}, store.ErrNotFound
	}
	return store.Entry{Value: s.value, Revision: s.currentRevision}, nil
}

func (s *lossyStore) CompareAndSwap(_ context.Context, _ string, revision uint64, value []byte, _ store.LeaseID) (store.Entry, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.deliverDelayed()
	apply := func() error {
		if s.currentRevision != revision {
			return store.ErrConflict
		}
		s.currentRevision++
		s.value = value
		s.writes++
		return nil
	}
	fault := s.random.IntN(10)
	if !s.faults {
		fault = 9
	}
	switch fault {
	case 0, 1:
		_ = apply() // The response is lost, whether the write took effect or not.
		return store.Entry{}, store.ErrUncertain
	case 2:
		return store.Entry{}, store.ErrUncertain
	case 3:
		s.delayed = append(s.delayed, func() { _ = apply() })
		return store.Entry{}, store.ErrUncertain
	case 4:
		return store.Entry{}, store.ErrUnavailable
	}
	return store.Entry{Value: value, Revision: revision + 1}, apply()
}

// deliverDelayed applies the delayed writes with a probability of 1/2.
func (s *lossyStore) deliverDelayed() {
	if s.random.IntN(2) == 0 {
		return
	}
	for _, write := range s.delayed {
		write()
	}
	s.delayed = nil
}

func (s *lossyStore) List(context.Context, string) ([]store.Entry, error) { panic("not used") }
func (s *lossyStore) Watch(context.Context, string, uint64) (store.Entry, error) {
	panic("not used")
}
func (s *lossyStore) Grant(context.Context, time.Duration) (store.LeaseID, error) {
	panic("not used")
}
func (s *lossyStore) Renew(context.Context, store.LeaseID) error  { panic("not used") }
func (s *lossyStore) Revoke(context.Context, store.LeaseID) error { panic("not used") }
