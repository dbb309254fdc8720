package usagecap

import (
	"math"
	"testing"
	"time"

	"github.com/matryer/is"

	"peridotmoor.org/peridotmoor/internal/fleet"
)

// reserveMany reserves as many requests of the team as it can, up to count.
func reserveMany(l *Ledger, now time.Time, instance string, count int) int {
	n := 0
	for i := range count {
		r := Request{Instance: instance, Number: uint64(now.UnixNano()) + uint64(i)}
		if _, ok := l.Reserve(now, r, modelTeam, false); ok {
			l.Take(now, r, now)
			n++
		}
	}
	return n
}

func newFullLedger(limit fleet.Cap) (*Ledger, time.Time) {
	l := NewLedger(modelStart)
	l.SetTeams(modelStart, teamsOf(limit))
	l.SetInstances(2)
	return l, modelStart.Add(time.Hour)
}

// Guards against a burst below 1, with which a team would never be served.
func TestBurstBelowOneCountsAsOne(t *testing.T) {
	is := is.New(t)
	l, now := newFullLedger(fleet.Cap{Rate: 2})
	is.Equal(reserveMany(l, now, "a", 5), 1)
	is.Equal(reserveMany(l, now.Add(500*time.Millisecond), "a", 5), 1)
}

// Guards against a bucket that keeps what a lowered cap does not allow, and against state of
// teams that no longer exist.
func TestChangedCapsBindAtOnce(t *testing.T) {
	is := is.New(t)
	l, now := newFullLedger(fleet.Cap{Rate: 100, Burst: 100})
	is.Equal(l.SetTeams(now, teamsOf(fleet.Cap{Rate: 1, Burst: 3})), CapChanges{Changed: 1})
	is.Equal(reserveMany(l, now, "a", 50), 3)
	is.Equal(l.SetTeams(now, teamsOf(fleet.Cap{Rate: 1, Burst: 3})), CapChanges{})
	is.Equal(l.SetTeams(now, teamsOf(fleet.Cap{})), CapChanges{Removed: 1})
	is.Equal(reserveMany(l, now, "a", 50), 50) // no limit
	is.Equal(len(l.active), 0)
	is.Equal(len(l.reserved), 0)
}

// Guards against a holder that hands out a lost instance's allowance a second time.
func TestLostInstanceKeepsItsPart(t *testing.T) {
	is := is.New(t)
	l, now := newFullLedger(fleet.Cap{Rate: 100, Burst: 100})
	for range 1000 { // both instances use half of it
		now = now.Add(10 * time.Millisecond)
		reserveMany(l, now, "a", 1)
		reserveMany(l, now, "b", 1)
	}
	used := func() (n int) {
		for range 500 {
			now = now.Add(10 * time.Millisecond)
			n += reserveMany(l, now, "b", 3)
		}
		return n
	}
	is.True(math.Abs(float64(used())-500) < 20)
	l.Lose(now, "a")
	lost := used()
	is.True(lost < 420) // without the part of a, which it had used less of meanwhile
	l.Rejoin(now, "a")
	is.True(math.Abs(float64(used())-500) < 5)
	l.Lose(now, "a")
	now = now.Add(AllowanceTTL + lostMargin)
	is.True(math.Abs(float64(used())-500) < 120) // a bucket may have filled meanwhile
}

// Guards against a schedule that sends all refused callers back at the same time, or for
// longer than they wait.
func TestReturnsAreSpreadOverTheRate(t *testing.T) {
	is := is.New(t)
	l, now := newFullLedger(fleet.Cap{Rate: 10, Burst: 1})
	reserveMany(l, now, "a", 1)
	for i := range 200 {
		delay, ok := l.Reserve(now, Request{Instance: "a", Number: uint64(i)}, modelTeam, false)
		is.True(!ok)
		is.True(delay > 0 && delay <= maxReturnDelay)
		if i < 40 {
			is.True((delay - time.Duration(i+1)*100*time.Millisecond).Abs() < time.Millisecond)
		}
	}
}

// Guards against values of another process that would lift a cap.
func TestToldValuesAreChecked(t *testing.T) {
	is := is.New(t)
	for _, bad := range []float64{math.NaN(), math.Inf(1), math.Inf(-1), -1} {
		for i := range 4 {
			v := [4]float64{1, 1, 1, 1}
			v[i] = bad
			is.Equal(NewAllowance(v[0], v[1], v[2], v[3], 0), Allowance{})
		}
		is.True(!Holding{Part: bad, Tokens: 1}.valid())
	}
	is.True(!Holding{Part: 1, Tokens: math.NaN()}.valid())
	is.Equal(NewAllowance(1, 2, 3, 7, 0).Part, 1.0)
	l := NewLedger(modelStart)
	l.Succeed(modelStart)
	l.SetTeams(modelStart, teamsOf(fleet.Cap{Rate: 10, Burst: 10}))
	l.Inherit(modelStart, "a", map[string]Holding{modelTeam: {Part: 1, Tokens: math.Inf(1)}, "unknown": {Part: 1, Tokens: 1}})
	is.True(reserveMany(l, modelStart, "a", 1000) <= 25)
}

// Guards against a reservation that is never given back because another process has sent the
// number of an attempt twice.
func TestRepeatedRequestNumberReservesOnce(t *testing.T) {
	is := is.New(t)
	l, now := newFullLedger(fleet.Cap{Rate: 0.001, Burst: 3})
	r := Request{Instance: "a", Number: 1}
	for range 2 {
		_, reserved := l.Reserve(now, r, modelTeam, false)
		is.True(reserved)
	}
	l.Release(r)
	is.Equal(reserveMany(l, now, "a", 5), 3)
}

// Guards against an inherited allowance that is not deducted when its instance is lost,
// because the team had no request for a count period.
func TestInheritedPartOfIdleTeamIsDeductedWhenLost(t *testing.T) {
	is := is.New(t)
	l := NewLedger(modelStart)
	l.Succeed(modelStart)
	l.SetTeams(modelStart, teamsOf(fleet.Cap{Rate: 100, Burst: 100}))
	l.SetShare(modelStart, 0.5)
	l.Inherit(modelStart, "a", map[string]Holding{modelTeam: {Part: 0.5}})
	now := modelStart.Add(countPeriod + time.Second)
	l.SetShare(now, 0.5)
	l.Lose(now, "a")
	is.Equal(l.accounts[modelTeam].lost["a"].part, 0.5)
}

// Guards against a lost instance whose part is counted twice because an attempt of it is still
// decided, so that the other instances are told too little.
func TestLostInstanceIsToldNothing(t *testing.T) {
	is := is.New(t)
	l, now := newFullLedger(fleet.Cap{Rate: 100, Burst: 100})
	is.Equal(reserveMany(l, now, "a", 10), 10)
	queued := Request{Instance: "a", Number: 1}
	_, reserved := l.Reserve(now, queued, modelTeam, false)
	is.True(reserved)
	l.Lose(now, "a")
	told := l.accounts[modelTeam].toldShare
	is.Equal(l.Take(now, queued, now), Allowance{})
	is.Equal(l.accounts[modelTeam].toldShare, told)
}
