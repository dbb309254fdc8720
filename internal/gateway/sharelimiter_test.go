package gateway

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"peridotmoor.org/peridotmoor/internal/backpressure"
	"peridotmoor.org/peridotmoor/internal/fleet"
	"peridotmoor.org/peridotmoor/internal/placing"
)

// Guards against instances without a holder that send a server more than its limit, beside
// a holder that still decides for the others or on their own, also when all begin at the
// same time and again after a pause.
func TestInstancesWithoutAHolderShareALimit(t *testing.T) {
	const fleetSize, rate, window = 12, 2.5, 4 * time.Second
	server := fleet.Incarnation{Name: "a", StartMS: 1}
	for _, tc := range []struct {
		name       string
		alone      int
		withHolder bool
	}{
		{"all, after the loss of the holder", fleetSize, false},
		{"half of them, beside the holder", fleetSize / 2, true},
	} {
		t.Run(tc.name, func(t *testing.T) {
			is := is.New(t)
			limiters := make([]shareLimiter, tc.alone)
			var sentAt []time.Time
			alone := 0
			now := time.Unix(1_700_000_000, 0)
			for range 3 {
				for step := range 6000 { // a minute of more requests than may be sent
					if tc.withHolder && step%40 == 0 {
						sentAt = append(sentAt, now)
					}
					for n := range limiters {
						if limiters[n].take(now, server, localLimitShare*rate/fleetSize) {
							sentAt = append(sentAt, now)
							alone++
						}
					}
					now = now.Add(10 * time.Millisecond)
				}
				now = now.Add(time.Hour)
			}
			most, first := 0, 0
			for last, at := range sentAt {
				for at.Sub(sentAt[first]) >= window {
					first++
				}
				most = max(most, last-first+1)
			}
			is.True(float64(most) <= 1.5*rate*window.Seconds()+5)
			is.True(float64(alone) >= 0.7*localLimitShare*rate*180*float64(tc.alone)/fleetSize)
		})
	}
}

// Guards against local placement that uses a limited server while another one is free, and
// against one that sends to it without knowing how many instances share its limit.
func TestLocalPlacementKeepsToLimits(t *testing.T) {
	is := is.New(t)
	registry := newRegistry(fleet.KindNonIdempotent)
	client := NewSchedulerClient("i", "d", registry, nil)
	limit := func(name string) {
		client.ObserveSignal(fleet.Incarnation{Name: name}, backpressure.Signal{Limit: backpressure.Limit{Named: true, PerSecond: 1000}})
	}
	place := func() string {
		return client.Place(t.Context(), placing.Attempt{Service: "s", Key: placing.NoKey, Deadline: time.Now().Add(time.Second)}).Server
	}
	limit("a")
	limit("b")
	for range maxLocalInFlight {
		is.Equal(place(), "c")
	}
	limit("c")
	is.Equal(place(), "")
}
