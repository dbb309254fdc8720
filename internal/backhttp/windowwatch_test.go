package backhttp

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"peridotmoor.org/peridotmoor/internal/sockopt"
)

// Guards against an upload to a server that is gone which lasts until its deadline, as the
// kernel has no timeout for it any more, and against giving up one whose server is slow.
func TestPeerIsGoneIfItsKernelDoesNotAnswer(t *testing.T) {
	for name, c := range map[string]struct {
		delivery sockopt.Delivery
		gone     bool
	}{
		"everything delivered":          {sockopt.Delivery{SinceAck: time.Hour}, false},
		"window closed":                 {sockopt.Delivery{Unsent: 1, SinceAck: time.Hour}, false},
		"a probe unanswered":            {sockopt.Delivery{Unsent: 1, UnansweredProbes: lostProbes - 1}, false},
		"probes unanswered":             {sockopt.Delivery{Unsent: 1, UnansweredProbes: lostProbes}, true},
		"on its way":                    {sockopt.Delivery{InFlight: 1, SinceSent: time.Second, SinceAck: time.Second + time.Millisecond}, false},
		"sent again and dropped":        {sockopt.Delivery{InFlight: 1, SinceSent: 2 * time.Second, SinceAck: 2 * time.Second}, false},
		"sent again a moment ago":       {sockopt.Delivery{InFlight: 1, SinceSent: time.Millisecond, SinceAck: 2 * time.Second}, false},
		"sent again and not answered":   {sockopt.Delivery{InFlight: 1, SinceSent: 2 * ackTimeout, SinceAck: 2 * time.Second}, true},
		"nothing known of its delivery": {sockopt.Delivery{}, false},
	} {
		t.Run(name, func(t *testing.T) {
			is.New(t).Equal(isPeerGone(c.delivery), c.gone)
		})
	}
}
