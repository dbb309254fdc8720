package shard

import (
	"context"
	"time"
)

// surrender is a request to take all grants back.
type surrender struct {
	done chan struct{}
	// ended reports that done is closed. The waiter reads done at any time, so the
	// field itself never changes.
	ended bool
}

// Surrender holds all ranges, takes the grants of all servers back and returns
// once every server provably owns nothing: it has acknowledged an empty list or
// its grant has expired. Call it before promises are returned early: the next
// holder takes for granted that no grant of an earlier one is in force. The shard
// stays held until the tenure ends.
func (r *Runtime) Surrender(ctx context.Context) error {
	s := &surrender{done: make(chan struct{})}
	select {
	case r.surrenders <- s:
	case <-ctx.Done():
		return ctx.Err()
	}
	select {
	case <-s.done:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// beginSurrender empties all lists from the next call on.
func (t *term) beginSurrender(s *surrender) {
	t.surrenders = append(t.surrenders, s)
	if t.quiesce == nil {
		t.quiesce = &quiesce{}
	}
	t.listsDirty = true
	t.viewDirty = true
}

// checkSurrender reports to the waiters once no server owns anything, and wakes
// the term when the next grant expires.
func (t *term) checkSurrender(now time.Time) {
	if len(t.surrenders) == 0 {
		return
	}
	emptyBy := time.Time{}
	for _, l := range t.links {
		emptyBy = later(emptyBy, l.book.AllFreeBy())
	}
	for _, book := range t.graves {
		emptyBy = later(emptyBy, book.AllFreeBy())
	}
	if emptyBy.After(now) {
		t.alarm.at(emptyBy)
		return
	}
	t.endSurrender()
}

// endSurrender releases the waiters; the lists stay empty.
func (t *term) endSurrender() {
	for _, s := range t.surrenders {
		if !s.ended {
			close(s.done)
			s.ended = true
		}
	}
}
