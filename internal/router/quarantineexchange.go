package router

import (
	"context"
	"time"

	"peridotmoor.org/peridotmoor/internal/publish"
	"peridotmoor.org/peridotmoor/internal/publish/exchange"
	"peridotmoor.org/peridotmoor/internal/quarantine"
)

// quarantinePublishInterval is the time between two checks for changed marks of this
// instance. Other instances need them only once one of them holds the shard.
const quarantinePublishInterval = time.Second

// quarantineExchange synchronizes the marks of requests that crash servers between the
// list that the dispatchers use and the publisher.
type quarantineExchange struct {
	list      *quarantine.List
	publisher *publish.Publisher
}

// run synchronizes the marks until ctx is cancelled.
func (q *quarantineExchange) run(ctx context.Context) {
	ticker := time.NewTicker(quarantinePublishInterval)
	defer ticker.Stop()
	published := uint64(0)
	for {
		changed := q.publisher.QuarantineChanged()
		q.mergeReceived(time.Now())
		select {
		case <-ctx.Done():
			return
		case <-changed:
		case now := <-ticker.C:
			if digest := q.list.Digest(now); digest != published {
				published = digest
				q.publishOwn(now)
			}
		}
	}
}

// mergeReceived adds the marks of other instances to the list.
func (q *quarantineExchange) mergeReceived(now time.Time) {
	var entries []quarantine.Entry
	for _, mark := range q.publisher.Quarantine().Marks(now) {
		entries = append(entries, quarantine.Entry{
			Fingerprint: quarantine.Fingerprint(mark.Fingerprint),
			Service:     mark.Service,
			Crashes:     mark.Crashes,
			Remaining:   mark.Remaining,
		})
	}
	q.list.Merge(entries, now)
}

// publishOwn publishes the marks of requests with crashes.
func (q *quarantineExchange) publishOwn(now time.Time) {
	var marks []exchange.QuarantineMark
	for _, e := range q.list.Entries(now) {
		if e.Crashes > 0 {
			marks = append(marks, exchange.QuarantineMark{
				Fingerprint: uint64(e.Fingerprint),
				Service:     e.Service,
				Crashes:     e.Crashes,
				Remaining:   e.Remaining,
			})
		}
	}
	q.publisher.AnnounceMarks(marks...)
}
