package entrynode

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// Guards against requests that run twice, refusals of requests that ran, responses that
// reach the wrong caller and two owners of a key, during a planned stop of an instance
// (possibly the holder) and an outage of the store.
func TestFleetDuringPlannedStopAndStoreOutage(t *testing.T) {
	is := is.New(t)
	f := newFleet(t, defaultRouteTimeout)
	stop := make(chan struct{})
	total := make(chan int, 1)
	go func() { total <- f.generateLoad(t, f.instances[1:], stop) }()

	f.instances[0].stop() // either the holder or a follower
	is.NoErr(<-f.instances[0].done)

	f.store.Store().Faults().SetUnavailable(true)
	time.Sleep(time.Second)
	f.store.Store().Faults().SetUnavailable(false)

	client := newCaller()
	defer client.CloseIdleConnections()
	answered := func() bool {
		_, body := sendRequest(client, f.instances[1], "after", 5)
		return body == "after:/p/x:"
	}
	waitFor(t, "requests are served after the outage", answered)
	close(stop)
	is.True(<-total > 0)
	f.checkOwners(t)
}
