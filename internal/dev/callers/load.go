package callers

import (
	"context"
	"math/rand/v2"
	"strconv"
	"time"
)

// The bounds of one request.
const (
	requestTimeout = 2 * time.Second
	maxAttempts    = 3
	// resendDelay is the wait before a resend for which no wait was advised.
	resendDelay = 20 * time.Millisecond
)

// Load describes an open-loop load: requests are due at a fixed rate, whether
// or not earlier ones have ended.
type Load struct {
	Kinds []RequestKind
	// Rate is in requests per second.
	Rate int
	// Count is how many requests are sent.
	Count int
	Seed  uint64
	// Probe, if set, is sent to each of its keys every ProbeInterval, on top of
	// the rate. It shows how long a key is unserved.
	Probe         *RequestKind
	ProbeInterval time.Duration
}

// Run sends the load through the balancer and returns a record of each request
// once the last one has ended. When ctx ends it sends no more.
func (l Load) Run(ctx context.Context, balancer *Balancer, client *Client) []*Record {
	run := &loadRun{load: l, balancer: balancer, client: client}
	random := rand.New(rand.NewPCG(l.Seed, 1))
	probes, stop := context.WithCancel(ctx)
	if l.Probe != nil {
		run.requests.Go(func() { run.probe(probes, *l.Probe) })
	}
	start := time.Now()
	for i := range l.Count {
		due := start.Add(time.Duration(i) * time.Second / time.Duration(l.Rate))
		if !sleepUntil(ctx, due) {
			break
		}
		kind := l.pickKind(random)
		run.send(ctx, due, kind, keyName(kind, random.IntN(kind.Keys)))
	}
	stop()
	run.requests.Wait()
	return run.records
}

// pickKind draws a kind by weight.
func (l Load) pickKind(random *rand.Rand) RequestKind {
	total := 0
	for _, kind := range l.Kinds {
		total += kind.Weight
	}
	draw := random.IntN(total)
	for _, kind := range l.Kinds {
		draw -= kind.Weight
		if draw < 0 {
			return kind
		}
	}
	return l.Kinds[len(l.Kinds)-1]
}

// keyName returns the name of the key with the given number.
func keyName(kind RequestKind, number int) string {
	return kind.Name + "-" + strconv.Itoa(number)
}

// ProbeKeys returns the keys that the probe uses.
func (l Load) ProbeKeys() []string {
	if l.Probe == nil {
		return nil
	}
	keys := make([]string, 0, l.Probe.Keys)
	for number := range l.Probe.Keys {
		keys = append(keys, keyName(*l.Probe, number))
	}
	return keys
}

// sleepUntil waits until at and reports whether ctx is still open.
func sleepUntil(ctx context.Context, at time.Time) bool {
	timer := time.NewTimer(time.Until(at))
	defer timer.Stop()
	select {
	case <-timer.C:
		return ctx.Err() == nil
	case <-ctx.Done():
		return false
	}
}
