package admission

// packedState packs the state that admission decides on into 64 bits, so that one
// compare-and-swap both checks and takes:
//
//	bits 0-11 busy, 12-23 foreign, 24-35 limit, 36-55 waiting, 56-58 flags
type packedState uint64

const (
	maxSlots   = 1<<12 - 1
	maxWaiting = 1<<20 - 1

	inheritedShift = 12
	limitShift     = 24
	waitingShift   = 36

	oneBusy    packedState = 1
	oneWaiting packedState = 1 << waitingShift

	// flagExclusive means that one request has all slots.
	flagExclusive packedState = 1 << 56
	// flagPaced means that a rate limits the server, so every request passes the dispatcher.
	flagPaced packedState = 1 << 57
	// flagClosed means that the gate admits nothing any more.
	flagClosed packedState = 1 << 58
)

// busy is the number of slots that requests of this holder have.
func (w packedState) busy() int { return int(w & maxSlots) }

// inherited is the number of slots still busy under an earlier holder.
func (w packedState) inherited() int { return int(w >> inheritedShift & maxSlots) }

// limit is the number of slots that may be busy.
func (w packedState) limit() int { return int(w >> limitShift & maxSlots) }

// waiting is the number of requests in the queue.
func (w packedState) waiting() int { return int(w >> waitingShift & maxWaiting) }

func (w packedState) hasFlag(flag packedState) bool { return w&flag != 0 }

// hasFreeSlot reports whether a slot may be taken, regardless of who waits for it.
func (w packedState) hasFreeSlot() bool {
	return w&(flagExclusive|flagClosed) == 0 && w.busy()+w.inherited() < w.limit()
}

// isIdle reports whether all slots may be taken at once.
func (w packedState) isIdle() bool {
	return w&(flagExclusive|flagClosed) == 0 && w.busy()+w.inherited() == 0 && w.limit() > 0
}

// admitsDirectly reports whether an arriving request may take a slot without queueing.
func (w packedState) admitsDirectly() bool {
	return w.waiting() == 0 && !w.hasFlag(flagPaced) && w.hasFreeSlot()
}

func (w packedState) withInherited(n int) packedState {
	return w&^(maxSlots<<inheritedShift) | packedState(n)<<inheritedShift
}

func (w packedState) withLimit(n int) packedState {
	return w&^(maxSlots<<limitShift) | packedState(n)<<limitShift
}

func (w packedState) withFlag(flag packedState, on bool) packedState {
	if on {
		return w | flag
	}
	return w &^ flag
}
