package callers

import (
	"context"
	"math/rand/v2"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/google/uuid"

	"peridotmoor.org/peridotmoor/internal/outcome"
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
	Kinds []Kind
	// Rate is in requests per second.
	Rate int
	// Count is how many requests are sent.
	Count int
	Seed  uint64
	// Probe, if set, is sent to each of its keys every ProbeInterval, on top of
	// the rate. It shows how long a key is unserved.
	Probe         *Kind
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
		kind := l.pick(random)
		run.send(ctx, due, kind, keyName(kind, random.IntN(kind.Keys)))
	}
	stop()
	run.requests.Wait()
	return run.records
}

// pick draws a kind by weight.
func (l Load) pick(random *rand.Rand) Kind {
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
func keyName(kind Kind, number int) string {
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

// loadRun is one run of a load.
type loadRun struct {
	load     Load
	balancer *Balancer
	client   *Client
	requests sync.WaitGroup

	mu      sync.Mutex
	records []*Record
}

func (l *loadRun) probe(ctx context.Context, kind Kind) {
	start := time.Now()
	for round := 0; ; round++ {
		due := start.Add(time.Duration(round) * l.load.ProbeInterval)
		if !sleepUntil(ctx, due) {
			return
		}
		for number := range kind.Keys {
			l.send(ctx, due, kind, keyName(kind, number))
		}
	}
}

// send starts one request. A load that has ended leaves the requests it has sent to their own deadlines.
func (l *loadRun) send(ctx context.Context, due time.Time, kind Kind, key string) {
	id := uuid.Must(uuid.NewV7()).String()
	record := &Record{RequestID: id, Kind: kind.Name, Service: kind.Service, Key: key, Idempotent: kind.Idempotent(), Due: due}
	l.mu.Lock()
	l.records = append(l.records, record)
	l.mu.Unlock()
	l.requests.Go(func() { l.attempts(context.WithoutCancel(ctx), record, kind) })
}

// attempts sends the request until it is answered, with the same ID and to
// another instance each time.
func (l *loadRun) attempts(ctx context.Context, record *Record, kind Kind) {
	ctx, cancel := context.WithDeadline(ctx, record.Due.Add(requestTimeout))
	defer cancel()
	var entry *Entry
	for range maxAttempts {
		entry = l.balancer.Pick(entry)
		attempt, wait := l.client.Send(ctx, entry, record.RequestID, record.Key, kind)
		record.Attempts = append(record.Attempts, attempt)
		if attempt.Outcome == outcome.Answered || permanent(attempt) {
			break
		}
		if !sleepUntil(ctx, time.Now().Add(max(wait, resendDelay))) {
			break
		}
	}
	record.Latency = time.Since(record.Due)
}

// permanent reports a refusal that a resend does not change.
func permanent(attempt Attempt) bool {
	return attempt.Status >= http.StatusBadRequest && attempt.Status < http.StatusInternalServerError &&
		attempt.Status != http.StatusTooManyRequests
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
