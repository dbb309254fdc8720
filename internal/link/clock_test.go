package link

import (
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"peridotmoor.org/peridotmoor/internal/facts"
	"peridotmoor.org/peridotmoor/internal/link/linkpb"
	"peridotmoor.org/peridotmoor/internal/placing"
)

// Guards against an instance that takes facts for fresh which have waited in a queue or on
// the link, in both directions: their age was counted from their arrival.
func TestFactsThatWaitOnTheLinkAreOld(t *testing.T) {
	const way, wait = 20 * time.Millisecond, 3 * time.Second
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		here, there := facts.NewRegistry(nil, nil), facts.NewRegistry(nil, nil)
		receiver := NewFactsReceiver(here)
		time.Sleep(time.Minute) // the clocks of the two ends differ
		f := &Follower{clock: NewClock()}
		toHolder, toInstance := receiver.Clock().stamp(), f.clock.stamp()
		time.Sleep(way)
		f.clock.observe(toHolder, time.Now())
		receiver.Clock().observe(toInstance, time.Now())

		down := &linkpb.Down{ReadUs: f.EncodeTime(time.Now())}
		up := &linkpb.Up{ReadUs: receiver.Clock().encode(time.Now())}
		time.Sleep(wait)
		receiver.Apply(&linkpb.Facts{}, receiver.DecodeTime(down.ReadUs), time.Now())
		NewFactsReceiver(there).Apply(&linkpb.Facts{}, f.DecodeTime(up.ReadUs), time.Now())
		for _, registry := range []*facts.Registry{here, there} {
			age, known := registry.Age(time.Now())
			is.True(known && age >= wait && age <= wait+way+time.Microsecond)
		}
	})
}

// Guards against facts from the future, which would count as fresh for as long as the machine
// was suspended: its clock stood still, and the other end does not know yet.
func TestTimesAreNeverInTheFuture(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		clock := NewClock()
		time.Sleep(time.Second)
		is.New(t).Equal(clock.decode((10 * time.Second).Microseconds()), time.Now())
	})
}

// Guards against a word of a server that one instance has heard and that is lost, or younger,
// on its way through the holder to another one.
func TestWordsOfServersKeepTheirAge(t *testing.T) {
	const way = 20 * time.Millisecond
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		first := JoinLocal(&recordingHandler{joined: make(chan Member, 1)}, Member{Instance: "a"}, NewClock(), func(*linkpb.Down) {})
		defer first.Close()
		time.Sleep(time.Millisecond)
		heardAt := time.Now()
		completion := DecodeFinish(EncodeFinish(placing.Completion{HeardAt: heardAt}, first), first.follower)
		is.Equal(completion.HeardAt, heardAt)

		second, receiver := &Follower{clock: NewClock()}, NewFactsReceiver(facts.NewRegistry(nil, nil))
		stamp := receiver.Clock().stamp()
		time.Sleep(way)
		second.clock.observe(stamp, time.Now())
		verdict := EncodeVerdict(placing.Decision{HeardAt: completion.HeardAt}, second)
		time.Sleep(time.Second)
		age := time.Since(DecodeVerdict(verdict, "b", receiver).HeardAt)
		is.True(age >= time.Second+way && age <= time.Second+2*way+time.Microsecond)
		is.True(DecodeVerdict(EncodeVerdict(placing.Decision{}, second), "b", receiver).HeardAt.IsZero())
	})
}

// Guards against facts without a known age that count as fresh.
func TestUnknownTimeOfReadingConfirmsNothing(t *testing.T) {
	is := is.New(t)
	registry := facts.NewRegistry(nil, nil)
	receiver := NewFactsReceiver(registry)
	silent := &Follower{clock: NewClock()} // the instance has not been heard
	receiver.Apply(&linkpb.Facts{}, receiver.DecodeTime(silent.EncodeTime(time.Now())), time.Now())
	_, known := registry.Age(time.Now())
	is.True(!known)
}

// Guards against a translated time that is later than the true one, or earlier by more than
// the shortest way of a message in the last windows.
func TestTranslatedTimesAreNeverTooLate(t *testing.T) {
	const shortest, rounding = 2 * time.Millisecond, 2 * time.Microsecond // of the stamp and of the time
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		random := rand.New(rand.NewPCG(39, 1))
		sender := NewClock()
		time.Sleep(time.Hour)
		receiver := NewClock()
		is.True(receiver.decode(receiver.encode(time.Now())).IsZero())
		for n := range 400 {
			stamp := sender.stamp()
			way := shortest
			if n%10 > 0 {
				way += time.Duration(random.Int64N(int64(100 * time.Millisecond)))
			}
			time.Sleep(way)
			receiver.observe(stamp, time.Now())
			at := time.Now().Add(-time.Duration(random.Int64N(int64(time.Second))))
			translated := sender.decode(receiver.encode(at))
			is.True(!translated.After(at))
			if n > 10 {
				is.True(at.Sub(translated) <= shortest+rounding)
			}
		}
	})
}
