package placing

import "peridotmoor.org/peridotmoor/internal/crashes"

// AttemptID identifies one attempt of a request within the fleet.
type AttemptID struct {
	Instance string
	Number   uint64
}

// lossID returns the ID of the loss if the attempt is lost.
func (a AttemptID) lossID() uint64 {
	return crashes.LossID(a.Instance, a.Number)
}
