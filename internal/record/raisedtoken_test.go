package record

import (
	"context"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"peridotmoor.org/peridotmoor/internal/authority"
	"peridotmoor.org/peridotmoor/internal/problem"
)

// Guards against a holder that refuses all requests for the rest of its tenure because a
// mirror accepted the holder's own raised token before the holder adopted it.
func TestHolderGoesOnUnderItsRaisedToken(t *testing.T) {
	for _, adoptedFirst := range []bool{false, true} {
		synctest.Test(t, func(t *testing.T) {
			is := is.New(t)
			m := newFakeMirrors("a", "b")
			defer m.close()
			table := m.open(2, true)
			defer table.Close()
			table.SetCandidates(candidates("a", "b"))
			time.Sleep(time.Second)
			before := table.Begin("k", testID(time.Now(), 1), 1, time.Now()).Execution
			is.NoErr(table.Copy(context.Background(), before))

			raised := authority.Token{Epoch: 2, Ballot: 1}
			m.mirror(authority.Instance{Name: "a"}).Copy(CopyRequest{
				Shard: mirrorShard, Token: raised, To: authority.Instance{Name: "a"}, CompleteSince: table.CompleteSince(),
			})
			if adoptedFirst {
				time.AfterFunc(5*time.Millisecond, func() { table.SetToken(raised) }) // a copy takes 10 ms
			}
			execution := table.Begin("k", testID(time.Now(), 2), 1, time.Now()).Execution
			err := table.Copy(context.Background(), execution)
			is.Equal(problem.From(err).Kind, problem.KindNotHolder)
			table.Conclude(execution, Record{State: NotRun})
			if !adoptedFirst {
				is.True(table.Ready() != nil) // not before the token is adopted
				table.SetToken(raised)
			}
			synctest.Wait()

			after := table.Begin("k", testID(time.Now(), 3), 1, time.Now()).Execution
			is.NoErr(table.Copy(context.Background(), after))
			time.Sleep(time.Second)
			is.Equal(len(table.Mirrors()), 2)
			for _, name := range []string{"a", "b"} {
				records, _, err := m.Fetch(context.Background(), authority.Instance{Name: name}, FetchRequest{Shard: mirrorShard, Token: raised, To: authority.Instance{Name: name}})
				is.NoErr(err)
				for _, want := range []*Execution{before, after} {
					is.True(slices.ContainsFunc(records, func(r Record) bool { return r.ID == want.DispatchedRecord().ID }))
				}
			}
		})
	}
}
