package record

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
)

// Guards against requests being refused for seconds after a short pause of all mirrors:
// both were removed after 50 ms, and neither was probed again for a second.
func TestSlowMirrorsDoNotRefuse(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		m := newFakeMirrors("a", "b")
		defer m.close()
		table := m.open(1, true)
		defer table.Close()
		table.SetCandidates(candidates("a", "b"))
		time.Sleep(time.Second)
		m.delay.Store(int64(200 * time.Millisecond))
		for i := range 5 {
			execution := table.Begin("k", testID(time.Now(), uint32(i)), 1, time.Now()).Execution
			is.NoErr(table.Copy(context.Background(), execution))
			is.Equal(len(table.Mirrors()), 1)
		}
		m.delay.Store(0)
		time.Sleep(3 * time.Second)
		is.Equal(len(table.Mirrors()), 2)
	})
}

// Guards against requests that are refused while the first mirror joins, and against
// requests that wait forever when none does.
func TestRequestsWaitForTheFirstMirror(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		m := newFakeMirrors("a")
		defer m.close()
		table := m.open(1, true)
		defer table.Close()
		start := time.Now()
		execution := table.Begin("k", testID(start, 1), 1, start).Execution
		is.True(table.Copy(context.Background(), execution) != nil)
		is.Equal(time.Since(start), mirrorWait)
		table.Conclude(execution, Record{State: NotRun})

		time.AfterFunc(300*time.Millisecond, func() { table.SetCandidates(candidates("a")) })
		execution = table.Begin("k", testID(time.Now(), 2), 1, time.Now()).Execution
		is.NoErr(table.Copy(context.Background(), execution))
	})
}

// Guards against requests that are refused because the only mirrors, slow for a moment,
// are not probed again before the requests have waited for mirrorWait.
func TestLostMirrorsAreTriedAgainWhileRequestsWait(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		m := newFakeMirrors("a", "b")
		defer m.close()
		table := m.open(1, true)
		defer table.Close()
		m.delay.Store(int64(200 * time.Millisecond)) // longer than the timeout of a probe
		table.SetCandidates(candidates("a", "b"))
		time.Sleep(mirrorRetry + 80*time.Millisecond) // a second probe has begun
		is.Equal(len(table.Mirrors()), 0)
		time.AfterFunc(300*time.Millisecond, func() { m.delay.Store(0) })
		execution := table.Begin("k", testID(time.Now(), 1), 1, time.Now()).Execution
		is.NoErr(table.Copy(context.Background(), execution))
	})
}

// Guards against a request that is refused at once when the last mirror is lost while
// its record is in flight, although another mirror joins soon.
func TestRecordOnItsWayWaitsForTheNextMirror(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		m := newFakeMirrors("a")
		defer m.close()
		table := m.open(1, true)
		defer table.Close()
		table.SetCandidates(candidates("a"))
		time.Sleep(time.Second)
		m.delay.Store(int64(time.Second)) // longer than lastMirrorTimeout
		time.AfterFunc(lastMirrorTimeout, func() { m.delay.Store(0) })
		execution := table.Begin("k", testID(time.Now(), 1), 1, time.Now()).Execution
		is.NoErr(table.Copy(context.Background(), execution))
		is.Equal(len(table.Mirrors()), 1)
	})
}
