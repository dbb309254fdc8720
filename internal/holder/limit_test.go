package holder

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"peridotmoor.org/peridotmoor/internal/link/linkpb"
	"peridotmoor.org/peridotmoor/internal/placing"
)

// Guards against a new holder that gives a server more than it takes, or work that it has
// asked an instance not to send, because it has not heard of that itself: an instance says
// so before its attempts are placed.
func TestNewHolderKeepsToWhatInstancesKnow(t *testing.T) {
	for _, tc := range []struct {
		name   string
		known  *linkpb.ServerState
		reason placing.Reason
	}{
		{"limit", &linkpb.ServerState{Name: "a", Born: 1, LimitKnown: true, Limited: true, LimitPerS: 1}, placing.ReasonLimit},
		{"pause", &linkpb.ServerState{Name: "a", Born: 1, PauseUs: time.Hour.Microseconds()}, placing.ReasonPaused},
	} {
		t.Run(tc.name, func(t *testing.T) {
			is := is.New(t)
			v := placeWith(t, newPlacingCoordinator(t), &linkpb.Up{Backpressure: []*linkpb.ServerState{tc.known}}, 0)
			is.Equal(v.Server, "")
			is.Equal(placing.Reason(v.Reason), tc.reason)
		})
	}
}
