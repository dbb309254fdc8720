package crashes

import (
	"slices"
	"sync"
	"sync/atomic"
	"time"
)

// Memory remembers losses. It is safe for concurrent use: each content is an immutable
// value that is replaced as a whole.
type Memory struct {
	contents sync.Map // content hash to *content
	size     atomic.Int64
	// changes counts the changes. It rises once a change can be read.
	changes  atomic.Uint64
	evicting atomic.Bool
}

// NewMemory returns a memory without losses.
func NewMemory() *Memory {
	return &Memory{}
}

// Record records a loss, or what another instance has told about one.
func (m *Memory) Record(l Loss, now time.Time) {
	if now.Sub(l.At) >= lossTTL {
		return
	}
	m.update(l.Content, true, func(c *content) ([]Loss, bool) { return c.merge(l) })
	if m.size.Load() > maxContents {
		m.evict(now)
	}
}

// Excuse records that the server has survived the loss.
func (m *Memory) Excuse(hash, id uint64) {
	m.update(hash, false, func(c *content) ([]Loss, bool) { return c.excuse(id) })
}

// Answered records that a server has answered the request: it crashes none.
func (m *Memory) Answered(hash uint64) {
	m.update(hash, false, func(c *content) ([]Loss, bool) { return c.excuse(0) })
}

// Blocks reports whether the request has crashed too many servers to be run at now.
func (m *Memory) Blocks(now time.Time, hash uint64) bool {
	known, ok := m.contents.Load(hash)
	return ok && known.(*content).blocks(now)
}

// update replaces the losses of a content by the result of change, unless that returns
// false. It adds an unknown content only if add is set.
func (m *Memory) update(hash uint64, add bool, change func(*content) ([]Loss, bool)) {
	for {
		known, ok := m.contents.Load(hash)
		if !ok && !add {
			return
		}
		old, _ := known.(*content)
		if old == nil {
			old = &content{}
		}
		losses, changed := change(old)
		if !changed {
			return
		}
		next := &content{losses: losses}
		if !ok {
			if _, loaded := m.contents.LoadOrStore(hash, next); !loaded {
				m.size.Add(1)
				m.changes.Add(1)
				return
			}
		} else if m.contents.CompareAndSwap(hash, known, next) {
			m.changes.Add(1)
			return
		}
	}
}

// evict forgets the contents that matter least: those whose losses no longer count, then
// those that are not refused, and last those that are, from the oldest on. So other traffic
// does not make the memory forget a request that crashes servers.
func (m *Memory) evict(now time.Time) {
	if m.evicting.Swap(true) {
		return // another goroutine evicts
	}
	defer m.evicting.Store(false)
	var all []candidate
	m.contents.Range(func(hash, c any) bool {
		all = append(all, candidate{hash: hash.(uint64), content: c.(*content), rank: rankOf(c.(*content), now)})
		return true
	})
	slices.SortFunc(all, candidate.compare)
	for _, c := range all[:max(0, len(all)-contentsAfterEviction)] {
		if m.contents.CompareAndDelete(c.hash, c.content) {
			m.size.Add(-1)
		}
	}
}

// All returns the losses that count at now: what an instance tells a holder that it joins.
func (m *Memory) All(now time.Time) []Loss {
	return m.collect(func(l Loss, _ *content) bool { return l.counts(now) })
}

// Announced returns the losses that instances need to know of which have not seen them:
// what a holder tells an instance that joins.
func (m *Memory) Announced(now time.Time) []Loss {
	return m.collect(func(_ Loss, c *content) bool { return c.worthTelling(now) })
}

func (m *Memory) collect(wanted func(Loss, *content) bool) []Loss {
	var out []Loss
	m.contents.Range(func(_, c any) bool {
		for _, l := range c.(*content).losses {
			if wanted(l, c.(*content)) {
				out = append(out, l)
			}
		}
		return true
	})
	return out
}
