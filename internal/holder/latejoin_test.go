package holder

import (
	"testing"

	"github.com/matryer/is"

	"peridotmoor.org/peridotmoor/internal/facts"
	"peridotmoor.org/peridotmoor/internal/link"
	"peridotmoor.org/peridotmoor/internal/link/linkpb"
	"peridotmoor.org/peridotmoor/internal/placing"
)

// Guards against decisions that an instance never gets: the join of a link that the
// instance has closed, which a silence of the network had held up, arrives after that of
// the link in use.
func TestLateJoinDoesNotReplaceTheLinkInUse(t *testing.T) {
	for name, after := range map[string]func(inUse, late *link.Local){
		"the late link ends":            func(_, late *link.Local) { late.Close() },
		"the link in use sends":         func(inUse, _ *link.Local) { inUse.Send(&linkpb.Up{}) },
		"both":                          func(inUse, late *link.Local) { inUse.Send(&linkpb.Up{}); late.Close() },
		"messages that were held up":    func(_, late *link.Local) { late.Send(&linkpb.Up{}); late.Close() },
		"a message after the link ends": func(inUse, late *link.Local) { late.Close(); late.Send(&linkpb.Up{}) },
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			c := &Coordinator{
				registry: facts.NewRegistry(nil, nil), queue: make(chan func(), eventQueueSize), ctx: t.Context(),
				followers: map[*link.Follower]bool{}, byName: map[string]*link.Follower{}, scheduler: placing.New(placing.RetryBudget{}, nil, nil),
			}
			join := func() (*link.Local, *link.Follower) {
				l := link.JoinLocal(c, link.Member{Instance: "entry-1/K55N5AKH"}, link.NewClock(), func(*linkpb.Down) {})
				c.drainQueue()
				return l, c.byName["entry-1/K55N5AKH"]
			}
			inUse, follower := join()
			defer inUse.Close()
			late, _ := join()
			after(inUse, late)
			c.drainQueue()
			is.Equal(c.byName["entry-1/K55N5AKH"], follower)
			late.Close()
			inUse.Close()
			c.drainQueue()
			is.Equal(len(c.byName), 0)
		})
	}
}
