package entrynode

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"
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
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
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
