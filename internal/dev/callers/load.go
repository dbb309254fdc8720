package callers

import (
	"context"
	"math/rand/v2"
	"strconv"
	"time"
)

// Limits of one request.
const (
	requestTimeout = 2 * time.Second
	maxAttempts    = 3
	// resendDelay is the minimum wait before a resend.
	resendDelay = 20 * time.Millisecond
)

// Load describes an open-loop load: requests are sent at a fixed rate, whether
// or not earlier ones have completed.
type Load struct {
	Kinds []RequestKind
	// Rate is in requests per second.
	Rate int
	// Count is the number of requests, without the probes.
	Count int
	Seed  uint64
	// Probe, if set, is sent to each of its keys every ProbeInterval, in addition
	// to Rate. It measures how long a key is unserved.
	Probe         *RequestKind
	ProbeInterval time.Duration
}

// Run sends the load through the balancer and returns a record of each request
// after the last one has completed. Once ctx is done it sends no new requests.
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

// pickKind returns a random kind, with probabilities proportional to the weights.
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

// sleepUntil waits until at or the end of ctx and reports whether ctx is not done.
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
