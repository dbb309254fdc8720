package record

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
)

// Guards against a short pause of all mirrors that refuses requests for seconds:
// both were dropped after 50 ms, and neither was tried again for a second.
func TestSlowMirrorsDoNotRefuse(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		m := newMemory("a", "b")
		defer m.close()
		k := m.open(1, true)
		defer k.Close()
		k.SetCandidates(candidates("a", "b"))
		time.Sleep(time.Second)
		m.delay.Store(int64(200 * time.Millisecond))
		for i := range 5 {
			run := k.Begin("k", testID(time.Now(), uint32(i)), 1, time.Now()).Execution
			is.NoErr(k.Copy(context.Background(), run))
			is.Equal(len(k.Mirrors()), 1)
		}
		m.delay.Store(0)
		time.Sleep(3 * time.Second)
		is.Equal(len(k.Mirrors()), 2)
	})
}

// Guards against a refusal while the first mirror joins, and against a wait
// without an end when none does.
func TestRequestsWaitForTheFirstMirror(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		m := newMemory("a")
		defer m.close()
		k := m.open(1, true)
		defer k.Close()
		start := time.Now()
		run := k.Begin("k", testID(start, 1), 1, start).Execution
		is.True(k.Copy(context.Background(), run) != nil)
		is.Equal(time.Since(start), mirrorWait)
		k.Conclude(run, Record{State: NotRun})

		time.AfterFunc(300*time.Millisecond, func() { k.SetCandidates(candidates("a")) })
		run = k.Begin("k", testID(time.Now(), 2), 1, time.Now()).Execution
		is.NoErr(k.Copy(context.Background(), run))
	})
}

// Guards against requests that are refused because the only mirrors, which were
// slow for a moment, are tried again no sooner than the requests give up.
func TestLostMirrorsAreTriedAgainWhileRequestsWait(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		m := newMemory("a", "b")
		defer m.close()
		k := m.open(1, true)
		defer k.Close()
		m.delay.Store(int64(200 * time.Millisecond)) // longer than a probe may take
		k.SetCandidates(candidates("a", "b"))
		time.Sleep(mirrorRetry + 80*time.Millisecond) // a second try has begun
		is.Equal(len(k.Mirrors()), 0)
		time.AfterFunc(300*time.Millisecond, func() { m.delay.Store(0) })
		run := k.Begin("k", testID(time.Now(), 1), 1, time.Now()).Execution
		is.NoErr(k.Copy(context.Background(), run))
	})
}

// Guards against a request that is refused at once when the last mirror is lost
// while its record is on the way, though another one joins soon.
func TestRecordOnItsWayWaitsForTheNextMirror(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		m := newMemory("a")
		defer m.close()
		k := m.open(1, true)
		defer k.Close()
		k.SetCandidates(candidates("a"))
		time.Sleep(time.Second)
		m.delay.Store(int64(time.Second)) // longer than the last mirror may take
		time.AfterFunc(lastMirrorTimeout, func() { m.delay.Store(0) })
		run := k.Begin("k", testID(time.Now(), 1), 1, time.Now()).Execution
		is.NoErr(k.Copy(context.Background(), run))
		is.Equal(len(k.Mirrors()), 1)
	})
}
