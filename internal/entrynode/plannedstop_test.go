package entrynode

import (
	"fmt"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"peridotmoor.org/peridotmoor/internal/holder"
)

// Guards against a stopping instance that leaves the holder at once, while it still accepts
// requests: without the holder it may not send a request to a second server, and does not
// know owners that change, so that callers get refusals.
func TestStoppingInstanceIsStillScheduledByTheHolder(t *testing.T) {
	is := is.New(t)
	f := newFleet(t, defaultRouteTimeout)
	stopping := f.instances[0] // either the holder or a follower
	stopping.stop()
	waitFor(t, "the instance reports that it is not ready", func() bool { return !stopping.ready() })
	client := newSingleUseCaller()
	answered, ended := 0, false
	for n := 0; !ended; n++ {
		if status, _ := sendRequestWithTimeout(client, stopping, fmt.Sprintf("drain-%d", n), n*7919%65536, 500*time.Millisecond); status == http.StatusOK {
			answered++
		}
		select {
		case err := <-stopping.done:
			is.NoErr(err)
			ended = true
		case <-time.After(50 * time.Millisecond):
		}
	}
	is.True(answered > 0)
}

// Guards against a stopping instance that accepts a request which may last longer than
// the instance does: the request runs, and the end of the process takes its answer away.
// Each request is sent on a connection of its own, as a load balancer does until it has
// noticed that the instance is not ready.
func TestPlannedStopAnswersEachRequestThatItAccepts(t *testing.T) {
	is := is.New(t)
	const (
		timeout  = 3500 * time.Millisecond // of the grace period of 4 s
		interval = 250 * time.Millisecond
	)
	f := newFleet(t, timeout)
	for _, b := range f.backends {
		b.serviceTime.Store(int64(2500 * time.Millisecond))
	}
	stopping := f.instances[0]
	statuses := sync.Map{} // request ID to status
	var requests sync.WaitGroup
	send := func(n int) {
		client := newSingleUseCaller()
		id := fmt.Sprintf("stop-%d", n)
		status, body := sendRequestWithTimeout(client, stopping, id, n*7919%65536, timeout)
		if status == http.StatusOK && body != id+":/p/x:" {
			t.Errorf("%s was answered %q", id, body)
		}
		statuses.Store(id, status)
	}
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	ended := false
	for n := 0; !ended; n++ {
		requests.Go(func() { send(n) })
		if n == 1 {
			stopping.stop()
		}
		select {
		case err := <-stopping.done:
			is.NoErr(err)
			ended = true
		case <-ticker.C:
		}
	}
	requests.Wait()
	answered := 0
	statuses.Range(func(id, status any) bool {
		ran := f.countExecutions(id.(string))
		if status == http.StatusOK {
			answered++
		}
		if status != http.StatusOK && ran > 0 || ran > 1 {
			t.Errorf("%s ran %d times and got status %d", id, ran, status)
		}
		return true
	})
	is.True(answered > 0)
}

// Guards against a fleet that has no holder while all of its instances stop at the same
// time but still finish requests.
func TestHolderStaysWhileAllInstancesStop(t *testing.T) {
	is := is.New(t)
	f := newFleet(t, defaultRouteTimeout)
	before, err := f.store.Store().Get(t.Context(), holder.KeyHolder)
	is.NoErr(err)
	for _, i := range f.instances {
		i.stop()
	}
	waitFor(t, "all instances are not ready", func() bool {
		for _, i := range f.instances {
			if i.ready() {
				return false
			}
		}
		return true
	})
	client := newCaller()
	defer client.CloseIdleConnections()
	for n := range 15 {
		status, _ := sendRequest(client, f.instances[n%3], fmt.Sprintf("s-%d", n), n*3001)
		is.Equal(status, http.StatusOK)
	}
	after, err := f.store.Store().Get(t.Context(), holder.KeyHolder)
	is.NoErr(err)
	is.Equal(after.Value, before.Value)
	for _, i := range f.instances {
		is.NoErr(<-i.done)
	}
	f.checkOwners(t)
}
