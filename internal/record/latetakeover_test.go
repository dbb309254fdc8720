package record

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"peridotmoor.org/peridotmoor/internal/authority"
	"peridotmoor.org/peridotmoor/internal/problem"
)

// Guards against a mirror that joins while the records of the previous holder are still on
// their way: it would count as complete without them, or forget since when it was.
func TestMirrorsJoinOnceTheRecordsAreThere(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		m := newFakeMirrors("a", "b", "c")
		defer m.close()
		first := m.open(1, true)
		first.SetCandidates(candidates("a", "b"))
		time.Sleep(time.Second)
		created := time.Now()
		is.NoErr(first.Copy(t.Context(), first.Begin("k", testID(created, 1), 1, created).Execution))
		first.Close()

		m.fetchDelay.Store(int64(900 * time.Millisecond))
		table := m.open(2, false)
		defer table.Close()
		table.SetCandidates(candidates("c", "b"))
		messages := m.messages.Load()
		time.Sleep(600 * time.Millisecond)
		is.Equal(m.messages.Load(), messages) // no mirror is probed
		is.NoErr(table.AwaitRecords(t.Context()))
		time.Sleep(time.Second)
		is.Equal(len(table.Mirrors()), 2)
		m.fetchDelay.Store(0)
		for _, member := range table.Mirrors() {
			records, since, err := m.Fetch(t.Context(), member, FetchRequest{
				Shard: mirrorShard, To: member, Token: authority.Token{Epoch: 1, Ballot: 2},
			})
			is.NoErr(err)
			is.Equal(len(records), 1)
			is.True(!since.After(created))
		}
	})
}

// Guards against requests that wait for the records of a holder that has stopped: another one
// may have them.
func TestRequestsThatAwaitRecordsAreRefusedAtTheEnd(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		m := newFakeMirrors("a")
		defer m.close()
		first := m.open(1, true)
		first.SetCandidates(candidates("a"))
		time.Sleep(time.Second)
		first.Close()
		m.fetchDelay.Store(int64(time.Hour))
		table := m.open(2, false)
		ended := make(chan error, 1)
		go func() { ended <- table.AwaitRecords(t.Context()) }()
		synctest.Wait()
		table.Close()
		is.Equal(problem.From(<-ended).Kind, problem.KindNotHolder)
	})
}

// Guards against a wait for records that no member of the mirror set has.
func TestRecordsThatNoMirrorHasAreGivenUpAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		m := newFakeMirrors("a")
		defer m.close()
		m.set.Store(&authority.MirrorSet{Generation: 1, Members: candidates("a")})
		start := time.Now()
		table := m.open(2, false)
		defer table.Close()
		is.NoErr(table.AwaitRecords(t.Context()))
		is.Equal(time.Now(), start)
		is.Equal(table.Begin("k", testID(start, 1), 1, start).Problem.Kind, problem.KindRecordsLost)
	})
}
