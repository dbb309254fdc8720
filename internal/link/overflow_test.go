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

// Guards against a follower that is gone and is kept because it gets only facts, which wait in
// one message and never fill its queue.
func TestSilentFollowerThatTakesNoFactsIsDisconnected(t *testing.T) {
	is := is.New(t)
	ended := false
	f := &Follower{disconnect: func() { ended = true }, wake: make(chan struct{}, 1)}
	f.heard(time.Now())
	f.Tell(NewSharedFacts(&linkpb.Facts{Epoch: 1}), 0, Told{})
	f.Flush()
	is.True(!ended) // slow only
	f.heard(time.Now().Add(-maxFollowerSilence - time.Second))
	f.takeFacts(&linkpb.Down{})
	f.Flush()
	is.True(!ended) // it reads
	f.Tell(NewSharedFacts(&linkpb.Facts{Epoch: 1}), 0, Told{})
	f.Flush()
	is.True(ended)
}

// Guards against a holder that closes the link to its own instance, which sends nothing while it
// has no requests.
func TestOwnInstanceIsNeverSilent(t *testing.T) {
	is := is.New(t)
	handler := &singleSlotHandler{messages: make(chan *linkpb.Up, 1)}
	local := JoinLocal(handler, Member{Instance: "i"}, NewClock(), func(*linkpb.Down) {})
	defer local.Close()
	local.Send(&linkpb.Up{})
	is.True(!local.follower.isSilent(time.Now().Add(time.Hour)))
}
