package holder

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"peridotmoor.org/peridotmoor/internal/link"
	"peridotmoor.org/peridotmoor/internal/link/linkpb"
	"peridotmoor.org/peridotmoor/internal/store/memstore"
)

// Guards against a holder that keeps to itself which servers have said that they are
// leaving: the other instances need it when they place requests without a holder, and
// for the next one.
func TestHolderTellsAllInstancesWhichServersLeave(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		e, end := startElector(t, memstore.New(), "entry-1", 0.8)
		time.Sleep(time.Second)
		informed := joinAs(t, e, link.Member{Instance: "entry-2"})
		told := make(chan string, 1)
		other := link.JoinLocal(e, link.Member{Instance: "entry-3"}, link.NewClock(), func(down *linkpb.Down) {
			for _, f := range down.Facts {
				for _, s := range f.Backpressure {
					told <- s.Name
				}
			}
		})
		informed.Send(&linkpb.Up{Backpressure: []*linkpb.ServerState{{Name: "a", Born: 1, Leaving: true}}})
		is.Equal(<-told, "a")
		other.Close()
		informed.Close()
		end()
	})
}
