package placing

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// inTimeShare returns the share of the requests of a load that are served in time, over
// several plays.
func inTimeShare(t *testing.T, p loadPattern) float64 {
	all := &loadResult{}
	for seed := range uint64(5) {
		all.add(replay(t, p, seed).total)
	}
	t.Log(all)
	return float64(all.inTime) / float64(all.sent)
}

// Guards against late returning requests that take the places of new ones and make those
// late as well: at 1.5 times its capacity a server must serve in time nine tenths of
// what it can run, the rest being those that end late by the variation of their work.
func TestReturningRequestsDoNotMakeNewOnesLate(t *testing.T) {
	is := is.New(t)
	for _, speed := range []float64{1, 1.7} {
		p := hotKey(speed, 1.5)
		share := inTimeShare(t, p)
		p.unrecognised = true
		unrecognised := inTimeShare(t, p)
		is.True(share >= 0.9/1.5)
		is.True(share >= unrecognised+0.1)
	}
}

// Guards against other requests that are taken for a return: many callers read the same hot key.
func TestRefusalMemoryTellsReturnsFromOtherRequests(t *testing.T) {
	is := is.New(t)
	refused := newAttempt(1, start)
	refused.ContentHash, refused.Deadline = 7, start.Add(3*time.Second)
	same := func(a *Attempt, at time.Duration) bool {
		var m refusalMemory
		m.add(start, &refused, refusal{softDeadline: start, returnsFrom: start.Add(400 * time.Millisecond)})
		_, returns := m.take(start.Add(at), a)
		return returns
	}
	other := refused
	is.True(same(&other, 500*time.Millisecond))
	is.True(!same(&other, 20*time.Millisecond)) // another caller at nearly the same time
	other.Deadline = refused.Deadline.Add(20 * time.Millisecond)
	is.True(same(&other, 500*time.Millisecond)) // the clocks of instances differ
	other.Deadline = refused.Deadline.Add(500 * time.Millisecond)
	is.True(!same(&other, 500*time.Millisecond)) // another caller, later
	other = refused
	other.ContentHash = 8
	is.True(!same(&other, 500*time.Millisecond))
}

// Guards against memory for refused requests that grows with the time of operation.
func TestRefusalMemoryForgets(t *testing.T) {
	is := is.New(t)
	var m refusalMemory
	for n := range 10_000 {
		a := newAttempt(uint64(n), start.Add(time.Duration(n)*10*time.Millisecond))
		a.ContentHash = uint64(n)
		m.add(start.Add(time.Duration(n)*10*time.Millisecond), &a, refusal{})
	}
	is.True(len(m.recent)+len(m.older) <= 2*401)
}

// Guards against a refusal that is forgotten before its caller returns to the latest place.
func TestRefusalIsRememberedUntilTheLatestReturn(t *testing.T) {
	is := is.New(t)
	var m refusalMemory
	filler, a := newAttempt(1, start), newAttempt(2, start)
	filler.ContentHash, a.ContentHash = 1, 2
	m.add(start, &filler, refusal{})
	refusedAt := start.Add(maxReturnDelay - time.Millisecond)
	m.add(refusedAt, &a, refusal{returnsFrom: refusedAt.Add(maxReturnDelay - maxEarlyReturn)})
	returnsAt := refusedAt.Add(maxReturnDelay + maxLateReturn - 2*time.Millisecond)
	for now := refusedAt; now.Before(returnsAt); now = now.Add(time.Millisecond) {
		m.add(now, &filler, refusal{})
	}
	_, returning := m.take(returnsAt, &a)
	is.True(returning)
}
