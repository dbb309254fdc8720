package caller

import (
	"context"
	"fmt"
	"math/rand/v2"
	"time"
)

const (
	// maxAttempts is how often a caller sends one request.
	maxAttempts = 3
	// maxPipelined is the largest number of requests sent without waiting for a response.
	maxPipelined = 5
	// retryPause is the least wait before a request is sent again.
	retryPause = 20 * time.Millisecond
	// maxThinkTime is the longest usual pause between requests; idleTime is a long one
	// on a kept connection.
	maxThinkTime = 150 * time.Millisecond
	idleTime     = 1500 * time.Millisecond
	// maxSlowWork is the longest service time of a pipelined request of a slow caller, so that
	// most of its time is that of reading.
	maxSlowWork = 60 * time.Millisecond
	// slowTimeout is that of the pipelined requests of a slow caller. A stopping instance accepts
	// them for as long as they end before it does.
	slowTimeout = 4 * time.Second
	// maxSendDelay is how much later a slow caller sends the last request of a pipeline.
	maxSendDelay = 3 * time.Second
)

// Caller sends requests one after the other or pipelined, on one connection at a time.
type Caller struct {
	Name     string
	Domain   string
	Balancer *Balancer
	Routes   []*Route
	Log      *Log
	// OnFault is called when bytes arrive that belong to no request.
	OnFault func(error)
	// Random decides what the caller does.
	Random *rand.Rand
	// Slow callers read slowly, and send the last request of a pipeline while they read.
	Slow bool
	// AtThresholds makes the lengths of bodies and responses lie around those from which on an
	// instance treats them otherwise.
	AtThresholds bool

	conn  *conn
	avoid *Instance
	count int
}

// Run sends requests until ctx is done, and returns after the last one has ended.
func (c *Caller) Run(ctx context.Context) {
	defer c.disconnect()
	for ctx.Err() == nil {
		if draw := c.Random.IntN(100); draw < 20 || c.Slow && draw < 90 {
			c.pipeline(ctx)
		} else {
			c.request(ctx, draw)
		}
		pause := time.Duration(c.Random.Int64N(int64(maxThinkTime)))
		if c.Random.IntN(20) == 0 {
			pause = idleTime
		}
		sleep(ctx, pause)
	}
}

// Send sends one idle request over the route through a new connection, for a check of the service.
func (c *Caller) Send(ctx context.Context, instance *Instance, route *Route, key int, timeout time.Duration) *Attempt {
	c.disconnect()
	a := c.attempt(c.nextRequest(), route, 0, 0)
	a.Key, a.Timeout = key, timeout
	conn, err := dial(instance)
	if err != nil {
		a.Result = Unsent
		return a
	}
	c.conn = conn
	c.exchange(ctx, []*Attempt{a})
	return a
}

// route draws a route; those that only some versions have come last and are drawn seldom.
func (c *Caller) route() *Route {
	n := c.Random.IntN(len(c.Routes))
	return c.Routes[min(n, c.Random.IntN(len(c.Routes)))]
}

// responseSize draws the length of a response. A slow caller would not read the long ones of
// others within its time.
func (c *Caller) responseSize() int {
	if c.Slow {
		return slowResponseSize(c.Random)
	}
	if c.AtThresholds {
		return thresholdSize(c.Random)
	}
	return responseSize(c.Random)
}

func (c *Caller) nextRequest() string {
	c.count++
	return fmt.Sprintf("%s-%d", c.Name, c.count)
}

// attempt returns the first attempt of a request.
func (c *Caller) attempt(request string, route *Route, work time.Duration, size int) *Attempt {
	return &Attempt{
		ID: request + ".1", Request: request, Route: route, Timeout: route.Timeout + 2*time.Second, Key: keys[c.Random.IntN(len(keys))], size: size,
		Target: fmt.Sprintf("%s%s?work_ms=%d&size=%d", route.Prefix, request, work.Milliseconds(), size),
	}
}

// request sends one request until it is answered or may not be sent again.
func (c *Caller) request(ctx context.Context, draw int) {
	a := c.attempt(c.nextRequest(), c.route(), serviceTime(c.Random), c.responseSize())
	switch {
	case a.Route.Upload:
		a.bodyBytes = 1 + c.Random.IntN(900<<10)
		a.chunked = c.Random.IntN(2) == 0
		a.chunkPause = time.Duration(c.Random.Int64N(int64(maxThinkTime)))
	case !a.Route.Idempotent:
		a.bodyBytes = 8 + c.Random.IntN(2000)
	}
	if c.AtThresholds && a.bodyBytes > 0 {
		a.bodyBytes = thresholdSize(c.Random)
	}
	if draw >= 92 {
		a.leavesAfter = time.Duration(1 + c.Random.Int64N(int64(time.Second)))
	}
	deadline := time.Now().Add(a.Timeout)
	for number := 1; ; number++ {
		if c.connect() {
			c.exchange(ctx, []*Attempt{a})
		} else {
			a.Result = Unsent
		}
		if !a.mayRetry() || number == maxAttempts || ctx.Err() != nil || time.Until(deadline) < retryPause {
			return
		}
		c.disconnect()
		sleep(ctx, min(max(a.retryAfter, retryPause), time.Until(deadline)/3))
		a = a.again(number+1, time.Until(deadline))
	}
}

// again returns the next attempt of the request.
func (a *Attempt) again(number int, left time.Duration) *Attempt {
	return &Attempt{
		ID: fmt.Sprintf("%s.%d", a.Request, number), Request: a.Request, Route: a.Route, Target: a.Target, Key: a.Key, Timeout: left,
		bodyBytes: a.bodyBytes, chunked: a.chunked, size: a.size,
	}
}

// pipeline sends several idempotent requests without waiting for their responses.
// Those without a response because of an announced close are sent again.
func (c *Caller) pipeline(ctx context.Context) {
	var batch []*Attempt
	for n := range 2 + c.Random.IntN(maxPipelined-1) {
		route := c.route()
		for c.Slow && !route.Idempotent {
			route = c.route() // so that there are more responses than its kernel takes
		}
		if !route.Idempotent {
			continue
		}
		work := serviceTime(c.Random)
		if c.Slow {
			work = min(work, maxSlowWork)
		}
		a := c.attempt(c.nextRequest(), route, work, c.responseSize())
		a.Ahead = min(n, len(batch))
		if c.Slow {
			a.Timeout = slowTimeout
		}
		batch = append(batch, a)
	}
	for number := 2; len(batch) > 0 && number <= maxAttempts+1 && ctx.Err() == nil && c.connect(); number++ {
		c.exchange(ctx, batch)
		var unanswered []*Attempt
		for _, a := range batch {
			if a.mayRetry() {
				next := a.again(number, a.Timeout)
				next.Ahead = len(unanswered)
				unanswered = append(unanswered, next)
			}
		}
		batch = unanswered
	}
}

// exchange sends the attempts on the connection, reads their responses in order and
// logs them.
func (c *Caller) exchange(ctx context.Context, batch []*Attempt) {
	conn := c.conn
	lastSent := make(chan struct{})
	ahead := batch
	if last := len(batch) - 1; c.Slow && last > 0 {
		ahead = batch[:last]
		time.AfterFunc(time.Duration(c.Random.Int64N(int64(maxSendDelay))), func() {
			defer close(lastSent)
			conn.sendOrNote(batch[last])
		})
	} else {
		close(lastSent)
	}
	for _, a := range ahead {
		conn.sendOrNote(a)
	}
	open, result := true, Cut
	for n, a := range batch {
		if n == len(ahead) {
			<-lastSent
		}
		if !open {
			a.Result, a.EndedAt = result, time.Now()
			c.Log.add(a)
			continue
		}
		open = conn.receive(a)
		result = a.Result
		if !open && a.Result == Complete {
			result = Unanswered
			if err := conn.awaitClose(); err != nil {
				c.OnFault(err)
			}
		}
		c.Log.add(a)
	}
	if !open || ctx.Err() != nil {
		c.disconnect()
	}
}

// connect makes sure that there is a connection and reports whether there is one. Some
// kept connections are used without a check whether the instance has closed them.
func (c *Caller) connect() bool {
	if c.conn != nil && c.Random.IntN(3) > 0 {
		usable, err := c.conn.usable()
		if err != nil {
			c.OnFault(err)
		}
		if !usable {
			c.disconnect()
		}
	}
	if c.conn != nil {
		return true
	}
	instance := c.Balancer.Pick(c.Random, c.Domain, c.avoid)
	open := dial
	if c.Slow {
		open = dialSlow
	}
	conn, err := open(instance)
	if err != nil {
		c.avoid = instance
		return false
	}
	c.conn = conn
	return true
}

func (c *Caller) disconnect() {
	if c.conn != nil {
		c.avoid = c.conn.instance
		c.conn.close()
		c.conn = nil
	}
}

// sleep waits for d or the end of ctx.
func sleep(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}
