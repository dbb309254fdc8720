package placing

import (
	"testing"

	"github.com/matryer/is"
)

// Guards against counts for operators that differ from what callers get.
func TestShortagesCountRefusalsAndReturns(t *testing.T) {
	is := is.New(t)
	r := replay(t, hotNeighbours(), 1)
	r.sched.Shortages(func(_ string, s Shortage) {
		t.Logf("%+v", s)
		// Those that reach their deadline in a queue are not among them.
		is.True(s.Refused <= uint64(r.total.refusals) && s.Refused >= uint64(r.total.refusals)*9/10)
		is.True(s.Returned <= uint64(r.total.returned) && s.Returned >= uint64(r.total.returned)*9/10)
		is.True(s.Overtaken > 0 && s.Overtaken < s.Refused)
		is.True(s.PlacesTaken <= s.Places && s.PlacesTaken >= s.Places*9/10)
	})
}
