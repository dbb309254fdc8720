package router

import (
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/pkg/errors"
)

// Guards against a request that is accepted during a planned stop although it may last
// longer than the stop, which then aborts it, and against refusals of shorter ones.
func TestPlannedStopAcceptsOnlyRequestsThatEndWithinIt(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	end := now.Add(30 * time.Second)
	var r readiness
	is.True(errors.Is(r.refusal(now), ErrNoSettings))
	r.ready.Store(true)
	is.Equal(r.refusal(now.Add(time.Hour)), nil)
	r.stopping.Store(true)
	r.endsAt.Store(&end)
	is.Equal(r.refusal(end), nil)
	is.True(errors.Is(r.refusal(end.Add(time.Millisecond)), ErrStopping))
}
