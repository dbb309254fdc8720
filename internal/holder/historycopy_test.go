package holder

import (
	"maps"
	"time"

	"peridotmoor.org/peridotmoor/internal/store"
)

// maxHistoryCopies bounds the age of the copy that a store comes back from: 5 to 25 s.
const maxHistoryCopies = 100

// historyCopy is a copy of the store of a history.
type historyCopy struct {
	revision uint64
	records  map[string]store.Entry
	key      *historyKey
}

// takeCopy copies the store.
func (m *historyModel) takeCopy() {
	m.copies = append(m.copies, historyCopy{m.store.revision, maps.Clone(m.store.records), m.key})
	if len(m.copies) > maxHistoryCopies {
		m.copies = m.copies[1:]
	}
}

// restore makes the store unavailable for a while, and brings it back from a copy in the next
// era. The lease of the copy lasts as long as drawn.
func (m *historyModel) restore() {
	n := m.number("copy", 0, len(m.copies)-1)
	if m.oneOf(2, "copy is young") {
		n = len(m.copies) - 1 - m.number("copies back", 0, min(12, len(m.copies)-1))
	}
	c := m.copies[n]
	m.copies = m.copies[:n+1]
	m.restoreFrom(c, time.Duration(m.number("lease lasts quarters", 0, 4))*leaseTTL/4)
}

// bringBackHolder cuts the holder off, and brings the store back later from a copy of before
// that, as it is reached again: the copy has the key of the old holder, which may still act,
// and nothing of its successor.
func (m *historyModel) bringBackHolder() {
	before := m.copies[len(m.copies)-1]
	m.cutOffHolder()
	m.after(time.Duration(m.number("brought back after ms", 1000, 14800))*time.Millisecond, func() {
		m.cut = [historyDomains + 1][historyDomains + 1]bool{}
		m.copies = []historyCopy{before}
		m.restoreFrom(before, leaseTTL)
	})
}

// restoreFrom brings the store back from a copy, whose lease lasts for the given time.
func (m *historyModel) restoreFrom(c historyCopy, lease time.Duration) {
	m.store.era++
	m.store.revision, m.store.records, m.key = c.revision, maps.Clone(c.records), nil
	if c.key != nil {
		restored := *c.key
		m.key = &restored
		m.key.leaseEndsAt = m.now.Add(lease)
		if !m.now.Before(m.key.leaseEndsAt) {
			m.key = nil
		}
	}
	m.stats.eras++
}

// drill makes the store unavailable until it comes back from a copy.
func (m *historyModel) drill() {
	if m.now.Before(m.storeBackAt) {
		return
	}
	down := time.Duration(0)
	if m.oneOf(2, "unavailable") {
		down = time.Duration(m.number("unavailable for ms", 100, 9000)) * time.Millisecond
	}
	m.storeBackAt = m.now.Add(down)
	m.after(down, m.restore)
}
