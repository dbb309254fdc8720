package servers

import "sync/atomic"

// Cold describes a cold start. The zero value has none.
type Cold struct {
	// Requests is how many requests must succeed until the server is warm.
	Requests int64
	// Factor multiplies service times at the start; it falls to 1 as requests succeed.
	Factor float64
	// Strikes is how many requests above the limit a cold server bears before it falls over.
	Strikes int64
	// Crash makes the server crash when it falls over; otherwise it starts to warm up anew.
	Crash bool
}

// coldStart is the progress of one incarnation.
type coldStart struct {
	config    Cold
	succeeded atomic.Int64
	strikes   atomic.Int64
}

func (c *coldStart) warm() bool {
	return c.succeeded.Load() >= c.config.Requests
}

// limit is how many requests a cold server can run at once: one in the first half, two in the second.
func (c *coldStart) limit() int64 {
	if c.succeeded.Load() < c.config.Requests/2 {
		return 1
	}
	return 2
}

// overloads counts a request that runs next to others and reports whether the server falls over.
func (c *coldStart) overloads(running int64) bool {
	if c.warm() || running <= c.limit() {
		return false
	}
	if c.strikes.Add(1) <= c.config.Strikes {
		return false
	}
	c.strikes.Store(0)
	c.succeeded.Store(0)
	return true
}

// factor is how much longer a request takes now.
func (c *coldStart) factor() float64 {
	if c.warm() {
		return 1
	}
	left := 1 - float64(c.succeeded.Load())/float64(c.config.Requests)
	return 1 + left*max(0, c.config.Factor-1)
}

func (c *coldStart) succeed() {
	c.succeeded.Add(1)
}

func (c *coldStart) turnCold() {
	c.strikes.Store(0)
	c.succeeded.Store(0)
}

func (c *coldStart) turnWarm() {
	c.succeeded.Store(c.config.Requests)
}
