package admission

// packedState packs the state that decides on admission into 64 bits, so that one
// compare-and-swap checks the limits and takes a slot:
//
//	bits 0-11 busy, 12-23 inherited, 24-35 limit, 36-55 waiting, 56-58 flags
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
	// flagPaced means that starts on the server are rate-limited, so every request passes
	// the dispatcher.
	flagPaced packedState = 1 << 57
	// flagClosed means that the limiter admits no more requests.
	flagClosed packedState = 1 << 58
)

// busy returns the number of slots taken by requests of this holder.
func (s packedState) busy() int { return int(s & maxSlots) }

// inherited returns the number of slots still taken by requests of an earlier holder.
func (s packedState) inherited() int { return int(s >> inheritedShift & maxSlots) }

// limit returns the number of slots that may be taken.
func (s packedState) limit() int { return int(s >> limitShift & maxSlots) }

// waiting returns the number of requests in the queue.
func (s packedState) waiting() int { return int(s >> waitingShift & maxWaiting) }

func (s packedState) hasFlag(flag packedState) bool { return s&flag != 0 }

// hasFreeSlot reports whether a slot may be taken, regardless of waiting requests.
func (s packedState) hasFreeSlot() bool {
	return s&(flagExclusive|flagClosed) == 0 && s.busy()+s.inherited() < s.limit()
}

// isIdle reports whether no slot is taken, so that all may be taken at once.
func (s packedState) isIdle() bool {
	return s&(flagExclusive|flagClosed) == 0 && s.busy()+s.inherited() == 0 && s.limit() > 0
}

// admitsDirectly reports whether an arriving request may take a slot without queueing.
func (s packedState) admitsDirectly() bool {
	return s.waiting() == 0 && !s.hasFlag(flagPaced) && s.hasFreeSlot()
}

func (s packedState) withInherited(n int) packedState {
	return s&^(maxSlots<<inheritedShift) | packedState(n)<<inheritedShift
}

func (s packedState) withLimit(n int) packedState {
	return s&^(maxSlots<<limitShift) | packedState(n)<<limitShift
}

func (s packedState) withFlag(flag packedState, on bool) packedState {
	if on {
		return s | flag
	}
	return s &^ flag
}
