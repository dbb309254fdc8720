package ramp

// State is what a server may get now. It is immutable; each step returns a
// new value. The zero State allows nothing.
type State struct {
	// Warm reports that the ramp is complete: all slots, no rate limit.
	Warm bool
	// Slots is the number of requests the server may run at a time.
	Slots int
	// Rate is the limit in requests/s while the server is not warm.
	Rate float64
	// Successes counts consecutive successes since the last step.
	Successes int
}

// Warm returns the allowance of a server with a complete ramp.
func Warm(c Config) State {
	return State{Warm: true, Slots: c.Slots}
}

// Cold returns the first allowance of a server in a cold start.
func Cold(c Config) State {
	return State{Slots: 1, Rate: c.ColdRate}
}

// Takeover returns the first allowance of a server after its shard was taken
// over: requests of the lost holder may still run there.
func Takeover(c Config) State {
	return State{Slots: 1, Rate: c.TakeoverRate}
}

// Success counts one success. Each stepSuccesses in a row double the rate and,
// from slotRate on, add a slot. A step with all slots open completes the ramp.
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

// Failure counts a failure or a shed: it halves the rate of a server that is not warm.
func (s State) Failure() State {
	if s.Warm {
		return s
	}
	s.Successes = 0
	s.Rate = max(s.Rate/2, minRate)
	return s
}

// Resize adapts the allowance to a changed number of slots.
func (s State) Resize(c Config) State {
	if s.Warm {
		return Warm(c)
	}
	s.Slots = min(s.Slots, c.Slots)
	return s
}
