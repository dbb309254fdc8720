package servers

import "sync/atomic"

// coldStart tracks the warm-up of one incarnation.
type coldStart struct {
	config    ColdStartConfig
	succeeded atomic.Int64
	overloads atomic.Int64
}

func (c *coldStart) warm() bool {
	return c.succeeded.Load() >= c.config.WarmUpRequests
}

// concurrencyLimit is how many requests a cold server can run at once: 1 in the first half of the warm-up, then 2.
func (c *coldStart) concurrencyLimit() int64 {
	if c.succeeded.Load() < c.config.WarmUpRequests/2 {
		return 1
	}
	return 2
}

// recordOverload counts a request above the concurrency limit and reports whether it was one too many.
func (c *coldStart) recordOverload(running int64) bool {
	if c.warm() || running <= c.concurrencyLimit() {
		return false
	}
	if c.overloads.Add(1) <= c.config.MaxOverloads {
		return false
	}
	c.overloads.Store(0)
	c.succeeded.Store(0)
	return true
}

// slowdownFactor multiplies the service time of a request that starts now.
func (c *coldStart) slowdownFactor() float64 {
	if c.warm() {
		return 1
	}
	remaining := 1 - float64(c.succeeded.Load())/float64(c.config.WarmUpRequests)
	return 1 + remaining*max(0, c.config.SlowdownFactor-1)
}

func (c *coldStart) recordSuccess() {
	c.succeeded.Add(1)
}

func (c *coldStart) reset() {
	c.overloads.Store(0)
	c.succeeded.Store(0)
}

func (c *coldStart) setWarm() {
	c.succeeded.Store(c.config.WarmUpRequests)
}
