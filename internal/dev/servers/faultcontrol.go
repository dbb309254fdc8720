package servers

import (
	"time"

	"peridotmoor.org/peridotmoor/internal/backend"
)

// Freeze halts the server until Thaw, as a stopped process. Its clock goes on.
func (s *Server) Freeze() { s.freezer.freeze() }

// Thaw lets a frozen server go on with what has arrived.
func (s *Server) Thaw() { s.freezer.thaw() }

// BlockedCalls returns a channel that gets a value for each call that meets the frozen server.
func (s *Server) BlockedCalls() <-chan struct{} { return s.freezer.blocked }

// SetLeaving makes the server refuse new work, as in a planned departure.
func (s *Server) SetLeaving(leaving bool) {
	s.leaving.Store(leaving)
	s.report()
}

// SetShedding makes the server refuse all work as if it were overloaded.
func (s *Server) SetShedding(shedding bool) {
	s.shedding.Store(shedding)
	s.report()
}

// SetSlowdown multiplies service times by factor; 1 is the normal speed.
func (s *Server) SetSlowdown(factor float64) {
	s.slowdownPercent.Store(int64(factor * 100))
}

// TurnCold makes the server cold without a restart.
func (s *Server) TurnCold() {
	if current := s.current.Load(); current != nil {
		current.cold.reset()
	}
}

// OverrideHealth makes the health endpoint claim health until it is called with nil.
func (s *Server) OverrideHealth(health *backend.Health) {
	s.healthOverride.Store(health)
}

// FailNext makes the next request meet the fault.
func (s *Server) FailNext(fault Fault) {
	s.fault.Store(&fault)
}

// takeFault returns the fault for this request and clears it.
func (s *Server) takeFault() Fault {
	if fault := s.fault.Swap(nil); fault != nil {
		return *fault
	}
	return FaultNone
}

// AdvanceClock moves the server's clock forward, which brings its grants closer to their end.
func (s *Server) AdvanceClock(d time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.clock.advance(d)
	for shard, held := range *s.grants.Load() {
		s.monitor.Set(shard, s.config.Name, held.ranges, time.Now(), s.clock.realTime(held.expiry))
	}
}
