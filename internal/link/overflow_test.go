package link

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"peridotmoor.org/peridotmoor/internal/link/linkpb"
)

// Guards against the end of the link to an instance that is only slow, after which it has to
// join anew, against decisions that it never gets, and against a link to an instance that is
// gone which is kept for ever.
func TestSlowFollowerIsKeptWhileItIsHeard(t *testing.T) {
	is := is.New(t)
	outbox := make(chan *linkpb.Down, 2)
	ended := false
	f := &Follower{
		disconnect: func() { ended = true },
		send: func(d *linkpb.Down) bool {
			select {
			case outbox <- d:
				return true
			default:
				return false
			}
		},
	}
	f.heard(time.Now())
	for number := range uint64(10) {
		f.Send(&linkpb.Down{Verdicts: []*linkpb.Verdict{{Number: number}}, Proof: number})
	}
	is.True(!ended)
	var numbers []uint64
	for range 3 {
		d := &linkpb.Down{}
		for _, v := range merge(d, outbox).Verdicts {
			numbers = append(numbers, v.Number)
		}
		f.Flush()
	}
	is.Equal(numbers, []uint64{0, 1, 2, 3, 4, 5, 6, 7, 8, 9})
	is.Equal(f.overflow, nil)

	f.heard(time.Now().Add(-maxFollowerSilence - time.Second))
	for range 3 {
		f.Send(&linkpb.Down{})
	}
	is.True(ended)
}
