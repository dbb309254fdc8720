package servers

import (
	"time"

	"peridotmoor.org/peridotmoor/internal/backend"
)

// Freeze suspends the server until Thaw, as SIGSTOP does. Its clock keeps running.
func (s *Server) Freeze() { s.freezer.freeze() }

// Thaw resumes a frozen server, which then handles the blocked calls.
func (s *Server) Thaw() { s.freezer.thaw() }

// BlockedCalls returns a channel that gets a value for each call blocked by the frozen server.
func (s *Server) BlockedCalls() <-chan struct{} { return s.freezer.blocked }

// SetLeaving makes the server refuse new requests, as before a planned stop.
func (s *Server) SetLeaving(leaving bool) {
	s.leaving.Store(leaving)
	s.report()
}

// SetShedding makes the server refuse all requests as if it were overloaded.
func (s *Server) SetShedding(shedding bool) {
	s.shedding.Store(shedding)
	s.report()
}

// SetSlowdown multiplies service times by factor; 1 is the normal speed.
func (s *Server) SetSlowdown(factor float64) {
	s.slowdownPercent.Store(int64(factor * 100))
}

// TurnCold starts the warm-up again without a restart.
func (s *Server) TurnCold() {
	if current := s.current.Load(); current != nil {
		current.cold.reset()
	}
}

// OverrideHealth makes the health endpoint return health, until it is called with nil.
func (s *Server) OverrideHealth(health *backend.Health) {
	s.healthOverride.Store(health)
}

// FailNext injects the fault into the next request.
func (s *Server) FailNext(fault Fault) {
	s.fault.Store(&fault)
}

// takeFault returns the fault to inject into this request and clears it.
func (s *Server) takeFault() Fault {
	if fault := s.fault.Swap(nil); fault != nil {
		return *fault
	}
	return FaultNone
}

// AdvanceClock moves the server's clock forward, so that its grants expire earlier.
func (s *Server) AdvanceClock(d time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.clock.advance(d)
	for shard, granted := range *s.grants.Load() {
		s.monitor.Set(shard, s.config.Name, granted.ranges, time.Now(), s.clock.realTime(granted.expiry))
	}
}
