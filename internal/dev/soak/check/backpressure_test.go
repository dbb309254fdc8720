package check

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"peridotmoor.org/peridotmoor/internal/dev/soak/backend"
	"peridotmoor.org/peridotmoor/internal/dev/soak/caller"
)

// arrive adds a request that was sent and reached server i-1 at the given second.
func arrive(e *Evidence, second float64) *backend.Arrival {
	id := fmt.Sprint("r", len(e.Arrivals))
	e.Attempts = append(e.Attempts, answered(id, readRoute, second, second+0.01, 200, "i-1.0"))
	e.Arrivals = append(e.Arrivals, backend.Arrival{RequestID: id, Server: "i-1", At: at(second)})
	return &e.Arrivals[len(e.Arrivals)-1]
}

// leave adds a response, passed on at the given second, that says that i-1 is leaving.
func leave(e *Evidence, second float64) {
	arrive(e, second-0.01)
	e.Attempts[len(e.Attempts)-1].ServerLeaving = true
}

// depart makes the store accept at the given second that i-1 leaves.
func depart(e *Evidence, second float64) {
	e.Departures = append(e.Departures, backend.Departure{Server: "i-1", AckedAt: at(second)})
}

// Guards against checks that miss a request that a server did not want, and against
// exceptions that are wider than the platform's pages allow.
func TestBackpressureViolations(t *testing.T) {
	limited := func(e *Evidence, from float64, count int) {
		e.Limits = []backend.Limit{{Server: "i-1", PerSecond: 2, From: at(1), Until: at(9.9)}}
		arrive(e, 1.5)
		for n := range count { // within 4 s
			arrive(e, from+3.9*float64(n)/float64(count))
		}
	}
	for name, c := range map[string]struct {
		prepare func(*Evidence)
		found   string
	}{
		"sent late to a leaving server":         {func(e *Evidence) { leave(e, 1); arrive(e, 3.1) }, "leaving"},
		"sent in time":                          {func(e *Evidence) { leave(e, 1); arrive(e, 2.9) }, ""},
		"sent late to another server":           {func(e *Evidence) { leave(e, 1); arrive(e, 3.1).Server = "i-2" }, ""},
		"sent late by another process":          {func(e *Evidence) { leave(e, 1); arrive(e, 3.1); e.Attempts[1].Process = 2 }, ""},
		"sent late after a freeze":              {func(e *Evidence) { leave(e, 1); arrive(e, 3.1); e.Impairments.impair(Freeze("entry-0"), 2, 2.5) }, ""},
		"sent late without the store":           {func(e *Evidence) { leave(e, 1); arrive(e, 3.1); e.Impairments.impair(Store, 0, 9) }, "leaving"},
		"sent late, cut from the store":         {func(e *Evidence) { leave(e, 1); arrive(e, 3.1); e.Impairments.impair("entry-0", 0, 9) }, "leaving"},
		"2.1 s after a departure":               {func(e *Evidence) { depart(e, 1); arrive(e, 3.1) }, "departure"},
		"1.9 s after a departure":               {func(e *Evidence) { depart(e, 1); arrive(e, 2.9) }, ""},
		"after the departure of another server": {func(e *Evidence) { depart(e, 1); arrive(e, 3.1).Server = "i-2" }, ""},
		"after a departure and a freeze":        {func(e *Evidence) { depart(e, 1); arrive(e, 3.1); e.Impairments.impair(Freeze("entry-0"), 2, 2.5) }, ""},
		"after a departure, without the store":  {func(e *Evidence) { depart(e, 1); arrive(e, 3.1); e.Impairments.impair(Store, 0, 9) }, "departure"},
		"after a departure, cut from the store": {func(e *Evidence) { depart(e, 1); arrive(e, 3.1); e.Impairments.impair("entry-0", 0, 9) }, "departure"},
		"three requests in a pause": {func(e *Evidence) {
			pause(e, 1, 2)
			arrive(e, 1.6)
			arrive(e, 2)
			arrive(e, 2.9)
		}, "pause"},
		"two requests in a pause": {func(e *Evidence) {
			pause(e, 1, 2)
			arrive(e, 1.1)
			arrive(e, 1.4)
			arrive(e, 1.6)
			arrive(e, 2)
			arrive(e, 3.1)
		}, ""},
		"three requests in a pause of a cut instance": {func(e *Evidence) {
			pause(e, 1, 2)
			arrive(e, 1.6)
			arrive(e, 2)
			arrive(e, 2.9)
			e.Impairments.impair("entry-0", 1.5, 1.6)
		}, ""},
		"18 requests in 4 s, 17 allowed":           {func(e *Evidence) { limited(e, 5, 18) }, "limit"},
		"17 requests in 4 s":                       {func(e *Evidence) { limited(e, 5, 17) }, ""},
		"18 requests in the first seconds":         {func(e *Evidence) { limited(e, 1.6, 18) }, ""},
		"18 requests in 4 s of an instance paused": {func(e *Evidence) { limited(e, 5, 18); e.Impairments.impair("entry-0", 4, 9) }, ""},
	} {
		t.Run(name, func(t *testing.T) {
			e := evidence()
			e.Processes = []Process{{Instance: "entry-0", Number: 1, StartedAt: at(0)}, {Instance: "entry-0", Number: 2, StartedAt: at(0)}}
			c.prepare(e)
			e.index()
			found := ""
			for _, check := range []func(*Evidence) []Violation{checkLeaving, checkDepartures, checkPauses, checkLimits} {
				for _, v := range check(e) {
					found += v.Check
				}
			}
			is.New(t).Equal(found, c.found)
		})
	}
}

// pause adds a refusal in which i-1 asks for a pause of the given seconds.
func pause(e *Evidence, second, length float64) {
	arrival := arrive(e, second)
	arrival.Pause = time.Duration(length * float64(time.Second))
	e.Attempts[len(e.Attempts)-1] = &caller.Attempt{ID: arrival.RequestID, Route: readRoute, Instance: "entry-0", Process: 1, StartedAt: at(second), SentAt: at(second), EndedAt: at(second + 0.1)}
}
