package ramp

// State is the state of a server's slow start: how many requests it may run and at which
// rate. It is immutable; each transition returns a new value. The zero State allows no
// requests.
type State struct {
	// Warm reports that the slow start is complete: all slots may be used and the rate is
	// not limited.
	Warm bool
	// Slots is the number of requests the server may run at a time.
	Slots int
	// Rate is the rate limit in requests/s while the server is not warm.
	Rate float64
	// Successes is the number of consecutive successes since the last step.
	Successes int
}

// Warm returns the state of a server whose slow start is complete.
func Warm(c Config) State {
	return State{Warm: true, Slots: c.Slots}
}

// Cold returns the initial state of a server after a cold start.
func Cold(c Config) State {
	return State{Slots: 1, Rate: c.ColdRate}
}

// Takeover returns the initial state of a server after its shard was taken over by a new
// holder. It is limited because requests of the previous holder may still run there.
func Takeover(c Config) State {
	return State{Slots: 1, Rate: c.TakeoverRate}
}

// Success records a successful request. Each successesPerStep consecutive successes double
// the rate and, from minRateForSlots on, add a slot. A step with all slots available
// completes the slow start.
func (s State) Success(c Config) State {
	if s.Warm {
		return s
	}
	s.Successes++
	if s.Successes < successesPerStep {
		return s
	}
	return s.step(c)
}

func (s State) step(c Config) State {
	if s.Slots >= c.Slots && s.Rate >= minRateForSlots {
		return Warm(c)
	}
	s.Successes = 0
	s.Rate = min(2*s.Rate, maxRate)
	if s.Rate >= minRateForSlots {
		s.Slots = min(s.Slots+1, c.Slots)
	}
	return s
}

// Failure records a failed or shed request. It halves the rate of a server that is not
// warm.
func (s State) Failure() State {
	if s.Warm {
		return s
	}
	s.Successes = 0
	s.Rate = max(s.Rate/2, minRate)
	return s
}

// Resize adapts the state to a changed number of slots.
func (s State) Resize(c Config) State {
	if s.Warm {
		return Warm(c)
	}
	s.Slots = min(s.Slots, c.Slots)
	return s
}
