package owners

import "time"

// hotMoves holds when keys that take up most of a server were last moved to a faster one.
type hotMoves map[int]time.Time

// recent reports whether the key was moved within hotMoveMemory.
func (h hotMoves) recent(now time.Time, key int) bool {
	at, ok := h[key]
	return ok && now.Sub(at) < hotMoveMemory
}

// add records a move, and forgets old ones.
func (h hotMoves) add(now time.Time, key int) {
	for k, at := range h {
		if now.Sub(at) >= hotMoveMemory {
			delete(h, k)
		}
	}
	h[key] = now
}
