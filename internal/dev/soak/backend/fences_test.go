package backend

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// Guards against a key that is taken under a fence below that of another server, and
// against a report for a server that takes its own key again.
func TestOldFencesAreReported(t *testing.T) {
	is := is.New(t)
	o := NewOwners()
	a, b := &incarnation{id: "a"}, &incarnation{id: "b"}
	take := func(i *incarnation, fence int64) int {
		o.take(i, []int{1, 2}, fence, time.Now())
		return len(o.Conflicts())
	}
	is.Equal(take(a, 5), 0)
	is.Equal(take(a, 5), 0)
	is.Equal(take(b, 6), 0)
	is.Equal(take(b, 6), 0)
	is.Equal(take(a, 6), 1) // one for the grant, not one for each key
	is.Equal(o.Conflicts()[0].OldFence, int64(6))
	is.Equal(take(a, 5), 2)
	is.Equal(take(b, 7), 2)
}
