package placing

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// Guards against promises that are not kept: of the callers that return when they were told,
// nineteen of twenty must be served, however many new requests arrive.
func TestCallersThatReturnWhenToldAreServed(t *testing.T) {
	is := is.New(t)
	for _, p := range []loadPattern{hotKey(1, 1.5), hotKey(1, 3), hotNeighbours(), burst(false, 3), burst(true, 1.5), withTarget(burst(true, 2), 600*time.Millisecond)} {
		all := &loadResult{}
		for seed := range uint64(3) {
			all.add(replay(t, p, seed).total)
		}
		t.Log(all)
		is.True(all.told > 0)
		is.True(20*all.toldServed >= 19*all.told)
	}
}

// Guards against refused callers that return all at the same time, and against places
// that are booked later than their callers return.
func TestPlacesAreSpreadOverTheThroughput(t *testing.T) {
	is := is.New(t)
	var s returnSchedule
	w := &queuedAttempt{Attempt: newAttempt(1, start)}
	w.Deadline = start.Add(6 * time.Second)
	var last time.Duration
	for n := range 20 {
		delay, booked := s.book(start, w, 0.5, 0.1)
		is.Equal(booked, delay <= 2*time.Second) // a third of the remaining time
		if booked && n > 0 {
			is.True(delay-last >= 100*time.Millisecond)
		}
		last = delay
	}
	is.Equal(len(s.places), 16)
	w.Deadline = start.Add(9 * time.Second) // this one returns later
	_, booked := s.book(start, w, 0.5, 0.1)
	is.True(booked)
}

// Guards against places that take capacity from new requests while new requests alone
// exceed it: those can still be answered in time.
func TestFewPlacesWhileNewRequestsExceedTheThroughput(t *testing.T) {
	is := is.New(t)
	var s returnSchedule
	now := start
	for range 200 { // 20 requests/s at a queue that serves 10
		now = now.Add(50 * time.Millisecond)
		s.countArrival(now)
	}
	w := &queuedAttempt{Attempt: newAttempt(1, now)}
	w.Deadline = now.Add(12 * time.Second)
	for range 100 {
		s.book(now, w, 0.5, 0.1)
	}
	is.True(len(s.places) <= 2) // 5% of 10/s within 4 s
}

// Guards against new requests that are refused for the sake of callers that do not return.
func TestUnclaimedPlacesCountLess(t *testing.T) {
	is := is.New(t)
	var s returnSchedule
	now := start
	for n := range 100 {
		now = now.Add(time.Second)
		w := &queuedAttempt{Attempt: newAttempt(uint64(n), now)}
		w.Deadline = now.Add(6 * time.Second)
		s.book(now, w, 0.5, 0.1)
		s.forget(now.Add(900 * time.Millisecond))
	}
	w := &queuedAttempt{Attempt: newAttempt(1000, now)}
	w.Deadline = now.Add(6 * time.Second)
	s.book(now, w, 0.1, 0.1)
	is.True(s.due(now.Add(time.Second)) < 0.05)
}

// Guards against a schedule that costs callers whose return cannot be recognised, as their
// requests differ: as many of them must be served as without one.
func TestUnrecognisedReturnsLoseNothing(t *testing.T) {
	is := is.New(t)
	for _, c := range []struct {
		pattern loadPattern
		// unserved is the share before there was a schedule.
		unserved float64
	}{{hotKey(1, 1.5), 0.302}, {hotNeighbours(), 0.198}, {burst(true, 1.5), 0.153}, {burst(true, 3), 0.440}} {
		c.pattern.unrecognised = true
		all := &loadResult{}
		for seed := range uint64(5) {
			all.add(replay(t, c.pattern, seed).total)
		}
		t.Log(all)
		is.True(float64(all.unserved)/float64(all.sent) <= c.unserved+0.01)
	}
}

// Guards against places that are later than any caller is told to return, and so stay empty.
func TestNoPlaceBeyondTheLongestDelay(t *testing.T) {
	is := is.New(t)
	var s returnSchedule
	w := &queuedAttempt{Attempt: newAttempt(1, start)}
	w.Deadline = start.Add(time.Minute)
	_, booked := s.book(start, w, (maxReturnDelay + time.Second).Seconds(), 0.1)
	is.True(!booked)
	is.Equal(len(s.places), 0)
	_, booked = s.book(start, w, maxReturnDelay.Seconds(), 0.1)
	is.True(booked)
}

// Guards against a new request that is refused for places whose callers have not returned, when
// nothing was refused since.
func TestPassedPlacesHoldNothingFree(t *testing.T) {
	is := is.New(t)
	var s returnSchedule
	w := &queuedAttempt{Attempt: newAttempt(1, start)}
	w.Deadline = start.Add(12 * time.Second)
	for range 20 {
		_, booked := s.book(start, w, 0.1, 0.1)
		is.True(booked)
	}
	is.True(s.waitBehind(start, w, &queue{}, 1) > 1)
	now := s.places[len(s.places)-1].Add(maxLateReturn + time.Millisecond)
	is.Equal(s.waitBehind(now, w, &queue{}, 1), 1.0)
}
