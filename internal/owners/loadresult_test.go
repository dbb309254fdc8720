package owners_test

import "fmt"

// loadResult counts how the requests of a period ended, and the moves of the period.
type loadResult struct {
	requests, inTime, late, refused int
	moves, keysMoved                int
	// reasons counts the moves by reason.
	reasons map[string]int
}

func (r loadResult) lateShare() float64 { return float64(r.late) / float64(max(1, r.requests)) }

func (r loadResult) inTimeShare() float64 { return float64(r.inTime) / float64(max(1, r.requests)) }

func (r loadResult) movedShare() float64 { return float64(r.keysMoved) / numKeys }

func (r loadResult) String() string {
	return fmt.Sprintf("%d requests, in time %.1f%%, late %.1f%%, refused %.1f%%, moves %d %v, keys moved %.1f%%", r.requests,
		100*r.inTimeShare(), 100*r.lateShare(), 100*float64(r.refused)/float64(max(1, r.requests)), r.moves, r.reasons, 100*r.movedShare())
}
