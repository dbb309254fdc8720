package placing

// fairClock orders the attempts of a queue by start-time fair queueing: each flow gets tags
// that advance by one with each attempt, from the tag in service on if it had none waiting.
// A team with many attempts so waits behind others of its rank, however many it sends. It
// holds nothing without teams.
type fairClock struct {
	// next holds the tag of the next attempt of each flow.
	next map[fairFlow]float64
	// served holds the tag in service of each rank.
	served map[int]float64
}

func flowOf(w *queuedAttempt) fairFlow {
	return fairFlow{w.Priority, w.Team, w.promised}
}

// tag returns the tag of an attempt that would be queued now.
func (c *fairClock) tag(w *queuedAttempt) float64 {
	if w.Team == "" && len(c.next) == 0 {
		if w.promised {
			return promisedTag
		}
		return 0
	}
	return max(c.served[w.Priority], c.next[flowOf(w)])
}

// add advances the flow of an attempt that is queued with its tag.
func (c *fairClock) add(w *queuedAttempt) {
	if w.Team == "" && len(c.next) == 0 {
		return
	}
	if c.next == nil {
		c.next, c.served = map[fairFlow]float64{}, map[int]float64{}
	}
	c.next[flowOf(w)] = w.tag + 1
}

// serve notes that a queued attempt is served.
func (c *fairClock) serve(w *queuedAttempt) {
	if len(c.next) > 0 {
		c.served[w.Priority] = max(c.served[w.Priority], w.tag)
	}
}

// remove returns to its flow the part of a queued attempt that is not served.
func (c *fairClock) remove(w *queuedAttempt) {
	if next, found := c.next[flowOf(w)]; found {
		c.next[flowOf(w)] = next - 1
	}
}

// reset forgets the flows when nothing is queued.
func (c *fairClock) reset() {
	if len(c.next) == 0 {
		return
	}
	clear(c.next)
	clear(c.served)
}
