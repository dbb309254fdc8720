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
func (a State) Success(c Config) State {
	if a.Warm {
		return a
	}
	a.Successes++
	if a.Successes < stepSuccesses {
		return a
	}
	return a.step(c)
}

func (a State) step(c Config) State {
	if a.Slots >= c.Slots && a.Rate >= slotRate {
		return Warm(c)
	}
	a.Successes = 0
	a.Rate = min(2*a.Rate, maxRate)
	if a.Rate >= slotRate {
		a.Slots = min(a.Slots+1, c.Slots)
	}
	return a
}

// Failure counts a failure or a shed: it halves the rate of a server that is not warm.
func (a State) Failure() State {
	if a.Warm {
		return a
	}
	a.Successes = 0
	a.Rate = max(a.Rate/2, minRate)
	return a
}

// Resize adapts the allowance to a changed number of slots.
func (a State) Resize(c Config) State {
	if a.Warm {
		return Warm(c)
	}
	a.Slots = min(a.Slots, c.Slots)
	return a
}
