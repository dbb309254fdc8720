package route

import (
	"sync/atomic"

	"peridotmoor.org/peridotmoor/internal/key"
)

// RangeRef is a counted reference of one request to a range. The range is not
// moved to another owner until all references are released.
type RangeRef struct {
	View  *View
	Range *Range
}

// Acquire takes a reference to the range that contains h. While the range is
// blocked it returns nil and a channel that is closed when a newer view has been
// published. Both are nil when there is no view or it does not cover h.
//
// The counter is incremented before the view is loaded a second time. A move
// that has published a view with the range blocked and then reads InFlight as 0
// therefore knows that no request proceeds under the older view.
func Acquire(views *atomic.Pointer[View], h key.Hash) (*RangeRef, <-chan struct{}) {
	for {
		view := views.Load()
		if view == nil {
			return nil, nil
		}
		r := view.Find(h)
		if r == nil {
			return nil, nil
		}
		if r.Blocked != nil {
			return nil, r.Blocked
		}
		r.State.InFlight.Add(1)
		if views.Load() == view {
			r.State.Requests.Add(1)
			return &RangeRef{View: view, Range: r}, nil
		}
		r.State.end()
	}
}

// Release drops the reference. It must be called exactly once.
func (e *RangeRef) Release() {
	e.Range.State.end()
}
