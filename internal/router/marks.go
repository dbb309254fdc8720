package router

import (
	"context"
	"time"

	"peridotmoor.org/peridotmoor/internal/publish"
	"peridotmoor.org/peridotmoor/internal/publish/exchange"
	"peridotmoor.org/peridotmoor/internal/quarantine"
)

// markInterval is the time between two looks at the marks of this instance. They
// matter elsewhere only after the shard has another holder.
const markInterval = time.Second

// markExchange carries marks of crashing requests between the list that the
// dispatchers use and the publisher.
type markExchange struct {
	list      *quarantine.List
	publisher *publish.Publisher
}

// run exchanges marks until ctx ends.
func (m *markExchange) run(ctx context.Context) {
	ticker := time.NewTicker(markInterval)
	defer ticker.Stop()
	told := uint64(0)
	for {
		changed := m.publisher.QuarantineChanged()
		m.learn(time.Now())
		select {
		case <-ctx.Done():
			return
		case <-changed:
		case now := <-ticker.C:
			if digest := m.list.Digest(now); digest != told {
				told = digest
				m.tell(now)
			}
		}
	}
}

// learn takes over what other instances know.
func (m *markExchange) learn(now time.Time) {
	var entries []quarantine.Entry
	for _, mark := range m.publisher.Quarantine().Marks(now) {
		entries = append(entries, quarantine.Entry{
			Fingerprint: quarantine.Fingerprint(mark.Fingerprint),
			Service:     mark.Service,
			Crashes:     mark.Crashes,
			Remaining:   mark.Remaining,
		})
	}
	m.list.Merge(entries, now)
}

// tell passes the marks of this instance on.
func (m *markExchange) tell(now time.Time) {
	var marks []exchange.QuarantineMark
	for _, e := range m.list.Entries(now) {
		if e.Crashes > 0 {
			marks = append(marks, exchange.QuarantineMark{
				Fingerprint: uint64(e.Fingerprint),
				Service:     e.Service,
				Crashes:     e.Crashes,
				Remaining:   e.Remaining,
			})
		}
	}
	m.publisher.AnnounceMarks(marks...)
}
