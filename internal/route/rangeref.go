package route

import (
	"sync/atomic"

	"peridotmoor.org/peridotmoor/internal/key"
)

// RangeRef is one request's hold on a range: while it is open, the range is not
// moved to another owner.
type RangeRef struct {
	View  *View
	Range *Range
}

// Acquire counts a request into the range of h. When the range cannot be used
// now it returns a nil entry and a channel that is closed when a newer view is
// out; the channel is nil when the view does not cover h.
//
// The count is raised before the view is read again: a mover that published a
// view with the range held, and then saw InFlight at 0, knows that no request
// continues under the older view.
func Acquire(views *atomic.Pointer[View], h key.Hash) (*RangeRef, <-chan struct{}) {
	for {
		view := views.Load()
		if view == nil {
			return nil, nil
		}
		row := view.Find(h)
		if row == nil {
			return nil, nil
		}
		if row.Blocked != nil {
			return nil, row.Blocked
		}
		row.State.InFlight.Add(1)
		if views.Load() == view {
			row.State.Requests.Add(1)
			return &RangeRef{View: view, Range: row}, nil
		}
		row.State.end()
	}
}

// Release ends the request's hold on the range. Call it exactly once.
func (e *RangeRef) Release() {
	e.Range.State.end()
}
