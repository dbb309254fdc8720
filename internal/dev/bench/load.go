package bench

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"
)

// load sends requests open-loop: each is due at its scheduled time, whether or
// not earlier ones have ended, and its latency counts from then.
type load struct {
	options Options
	targets []target
	sender  *sender
	random  *rand.Rand
	pending sync.WaitGroup
}

// run sends rate requests per second for the given time and waits for the last one.
func (l *load) run(ctx context.Context, rate int, duration time.Duration) phase {
	into := newPhase()
	start := time.Now()
	count := int(float64(rate) * duration.Seconds())
	for i := range count {
		due := start.Add(time.Duration(i) * time.Second / time.Duration(rate))
		if !sleepUntil(ctx, due) {
			break
		}
		c, to := l.next()
		l.pending.Go(func() { l.one(ctx, due, to, c, into) })
	}
	if rate == 0 {
		sleepUntil(ctx, start.Add(duration))
	}
	l.pending.Wait()
	return into
}

func (l *load) one(ctx context.Context, due time.Time, to target, c call, into phase) {
	result := l.sender.send(ctx, to, c)
	kind := into.reads
	if c.order {
		kind = into.orders
	}
	kind.add(result, time.Since(due))
}

// next draws a request and where it goes.
func (l *load) next() (call, target) {
	to := l.targets[l.random.IntN(len(l.targets))]
	c := call{service: to.service, key: keyName(l.random.IntN(l.options.KeysPerService)), order: l.random.IntN(100) < l.options.WritePercent}
	if c.service == "" {
		c.service = serviceName(l.random.IntN(l.options.Services))
	}
	return c, to
}

// warmUp raises the rate in steps, because servers start with a ramp after
// each take-over and refuse what exceeds it.
func (l *load) warmUp(ctx context.Context) {
	const steps = 4
	for step := range steps {
		l.run(ctx, l.options.Rate>>(steps-1-step), l.options.Warmup/steps)
	}
}

// sleepUntil waits until at and reports whether ctx is still open.
func sleepUntil(ctx context.Context, at time.Time) bool {
	wait := time.Until(at)
	if wait <= 0 {
		return ctx.Err() == nil
	}
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-timer.C:
		return ctx.Err() == nil
	case <-ctx.Done():
		return false
	}
}
