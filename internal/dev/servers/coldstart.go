package servers

import "sync/atomic"

// coldStart is the progress of one incarnation.
type coldStart struct {
	config    ColdStartConfig
	succeeded atomic.Int64
	strikes   atomic.Int64
}

func (c *coldStart) warm() bool {
	return c.succeeded.Load() >= c.config.WarmUpRequests
}

// limit is how many requests a cold server can run at once: one in the first half, two in the second.
func (c *coldStart) limit() int64 {
	if c.succeeded.Load() < c.config.WarmUpRequests/2 {
		return 1
	}
	return 2
}

// overloads counts a request that runs next to others and reports whether the server falls over.
func (c *coldStart) overloads(running int64) bool {
	if c.warm() || running <= c.limit() {
		return false
	}
	if c.strikes.Add(1) <= c.config.MaxOverloads {
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
	left := 1 - float64(c.succeeded.Load())/float64(c.config.WarmUpRequests)
	return 1 + left*max(0, c.config.SlowdownFactor-1)
}

func (c *coldStart) succeed() {
	c.succeeded.Add(1)
}

func (c *coldStart) turnCold() {
	c.strikes.Store(0)
	c.succeeded.Store(0)
}

func (c *coldStart) turnWarm() {
	c.succeeded.Store(c.config.WarmUpRequests)
}
