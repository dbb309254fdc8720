package admission

// word packs the state that admission decides on into 64 bits, so that one
// compare-and-swap both checks and takes:
//
//	bits 0-11 busy, 12-23 foreign, 24-35 limit, 36-55 waiting, 56-58 flags
type word uint64

const (
	maxSlots   = 1<<12 - 1
	maxWaiting = 1<<20 - 1

	foreignShift = 12
	limitShift   = 24
	waitingShift = 36

	oneBusy    word = 1
	oneWaiting word = 1 << waitingShift

	// flagExclusive means that one request has all slots.
	flagExclusive word = 1 << 56
	// flagPaced means that a rate limits the server, so every request passes the dispatcher.
	flagPaced word = 1 << 57
	// flagClosed means that the gate admits nothing any more.
	flagClosed word = 1 << 58
)

// busy is the number of slots that requests of this holder have.
func (w word) busy() int { return int(w & maxSlots) }

// foreign is the number of slots still busy under an earlier holder.
func (w word) foreign() int { return int(w >> foreignShift & maxSlots) }

// limit is the number of slots that may be busy.
func (w word) limit() int { return int(w >> limitShift & maxSlots) }

// waiting is the number of requests in the queue.
func (w word) waiting() int { return int(w >> waitingShift & maxWaiting) }

func (w word) has(flag word) bool { return w&flag != 0 }

// hasFree reports whether a slot may be taken, regardless of who waits for it.
func (w word) hasFree() bool {
	return w&(flagExclusive|flagClosed) == 0 && w.busy()+w.foreign() < w.limit()
}

// isIdle reports whether all slots may be taken at once.
func (w word) isIdle() bool {
	return w&(flagExclusive|flagClosed) == 0 && w.busy()+w.foreign() == 0 && w.limit() > 0
}

// isOpen reports whether an arriving request may take a slot without queueing.
func (w word) isOpen() bool {
	return w.waiting() == 0 && !w.has(flagPaced) && w.hasFree()
}

func (w word) withForeign(n int) word {
	return w&^(maxSlots<<foreignShift) | word(n)<<foreignShift
}

func (w word) withLimit(n int) word {
	return w&^(maxSlots<<limitShift) | word(n)<<limitShift
}

func (w word) withFlag(flag word, on bool) word {
	if on {
		return w | flag
	}
	return w &^ flag
}
