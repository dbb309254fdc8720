package callers

import (
	"context"
	"net/http"
	"sync"
	"time"

	"github.com/google/uuid"

	"peridotmoor.org/peridotmoor/internal/outcome"
)

// loadRun is the state of one run of a load.
type loadRun struct {
	load     Load
	balancer *Balancer
	client   *Client
	requests sync.WaitGroup

	mu      sync.Mutex
	records []*Record
}

func (l *loadRun) probe(ctx context.Context, kind RequestKind) {
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

// send starts one request. The end of ctx does not cancel it; it has its own deadline.
func (l *loadRun) send(ctx context.Context, due time.Time, kind RequestKind, key string) {
	id := uuid.Must(uuid.NewV7()).String()
	record := &Record{RequestID: id, Kind: kind.Name, Service: kind.Service, Key: key, Idempotent: kind.Idempotent(), Due: due}
	l.mu.Lock()
	l.records = append(l.records, record)
	l.mu.Unlock()
	l.requests.Go(func() { l.sendUntilAnswered(context.WithoutCancel(ctx), record, kind) })
}

// sendUntilAnswered sends the request until it is answered or permanently refused, up
// to maxAttempts times. Each attempt has the same ID and goes to another instance than
// the one before.
func (l *loadRun) sendUntilAnswered(ctx context.Context, record *Record, kind RequestKind) {
	ctx, cancel := context.WithDeadline(ctx, record.Due.Add(requestTimeout))
	defer cancel()
	var entry *EntryInstance
	for range maxAttempts {
		entry = l.balancer.Pick(entry)
		attempt, wait := l.client.Send(ctx, entry, record.RequestID, record.Key, kind)
		record.Attempts = append(record.Attempts, attempt)
		if attempt.Outcome == outcome.Answered || isPermanentRefusal(attempt) {
			break
		}
		if !sleepUntil(ctx, time.Now().Add(max(wait, resendDelay))) {
			break
		}
	}
	record.Latency = time.Since(record.Due)
}

// isPermanentRefusal reports whether the attempt was refused with a status that a resend does not change.
func isPermanentRefusal(attempt Attempt) bool {
	return attempt.Status >= http.StatusBadRequest && attempt.Status < http.StatusInternalServerError &&
		attempt.Status != http.StatusTooManyRequests
}
