package bench

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"
)

// loadGenerator sends an open-loop load: each request is sent at its scheduled time,
// whether or not earlier ones have ended, and its latency counts from that time.
type loadGenerator struct {
	options Options
	targets []target
	sender  *sender
	random  *rand.Rand
	pending sync.WaitGroup
}

// run sends rate requests per second for the given duration and waits until all have
// ended. At rate 0 it only waits.
func (l *loadGenerator) run(ctx context.Context, rate int, duration time.Duration) loadResult {
	result := newLoadResult()
	start := time.Now()
	count := int(float64(rate) * duration.Seconds())
	for i := range count {
		due := start.Add(time.Duration(i) * time.Second / time.Duration(rate))
		if !sleepUntil(ctx, due) {
			break
		}
		c, to := l.nextCall()
		l.pending.Go(func() { l.sendOne(ctx, due, to, c, result) })
	}
	if rate == 0 {
		sleepUntil(ctx, start.Add(duration))
	}
	l.pending.Wait()
	return result
}

func (l *loadGenerator) sendOne(ctx context.Context, due time.Time, to target, c call, result loadResult) {
	outcome := l.sender.send(ctx, to, c)
	recorder := result.reads
	if c.write {
		recorder = result.writes
	}
	recorder.add(outcome, time.Since(due))
}

// nextCall returns a random request and its target.
func (l *loadGenerator) nextCall() (call, target) {
	to := l.targets[l.random.IntN(len(l.targets))]
	c := call{service: to.service, key: keyName(l.random.IntN(l.options.KeysPerService)), write: l.random.IntN(100) < l.options.WritePercent}
	if c.service == "" {
		c.service = serviceName(l.random.IntN(l.options.Services))
	}
	return c, to
}

// warmUp doubles the rate in steps up to the configured one. After each takeover the
// servers start with a ramp and refuse requests above it.
func (l *loadGenerator) warmUp(ctx context.Context) {
	const steps = 4
	for step := range steps {
		l.run(ctx, l.options.Rate>>(steps-1-step), l.options.Warmup/steps)
	}
}

// sleepUntil waits until at. It returns false if ctx has ended.
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
