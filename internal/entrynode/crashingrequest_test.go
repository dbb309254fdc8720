package entrynode

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"

	"peridotmoor.org/peridotmoor/internal/holder"
)

// crashPath is the path of requests whose connection the fake backend server ends without
// a response, as a server does that crashes.
const crashPath = "/p/crash"

// holder returns the instance that is the holder.
func (f *fleet) holder(t *testing.T) *instance {
	t.Helper()
	var found *instance
	waitFor(t, "a holder", func() bool {
		entry, err := f.store.Store().Get(context.Background(), holder.KeyHolder)
		var key struct{ Name string }
		if err != nil || json.Unmarshal(entry.Value, &key) != nil {
			return false
		}
		for _, i := range f.instances {
			if i.config.Name == key.Name {
				found = i
			}
		}
		return found != nil
	})
	return found
}

// Guards against a request that crashes two more servers after each change of the holder,
// as only the holder remembered what it had done before.
func TestNextHolderRefusesRequestsThatCrashServers(t *testing.T) {
	is := is.New(t)
	f := newFleet(t, defaultRouteTimeout)
	client := newSingleUseCaller()
	sent := 0
	send := func(i *instance, path string) int {
		sent++
		status, _ := sendTo(client, i, path, fmt.Sprintf("c-%d", sent), 5, defaultRouteTimeout)
		return status
	}
	waitFor(t, "requests are served", func() bool { return send(f.instances[0], "/p/x") == http.StatusOK })
	for range 2 {
		is.Equal(send(f.instances[0], crashPath), http.StatusBadGateway)
		time.Sleep(time.Second) // until the server gets requests again
	}
	crashes := f.countCrashes()
	is.True(crashes >= 1)
	left := f.instances
	for len(left) > 1 {
		waitFor(t, "the request is refused", func() bool { return send(left[0], crashPath) == http.StatusServiceUnavailable })
		crashes = f.countCrashes()
		h := f.holder(t)
		h.stop()
		is.NoErr(<-h.done)
		var rest []*instance
		for _, i := range left {
			if i != h {
				rest = append(rest, i)
			}
		}
		left = rest
		waitFor(t, "requests are served by the next holder", func() bool { return send(left[0], "/p/x") == http.StatusOK })
		for _, i := range left {
			for range 3 {
				is.Equal(send(i, crashPath), http.StatusServiceUnavailable)
			}
		}
		is.Equal(f.countCrashes(), crashes)
	}
}

// countCrashes returns how many requests for crashPath have reached a server.
func (f *fleet) countCrashes() int {
	n := 0
	for _, b := range f.backends {
		n += int(b.crashes.Load())
	}
	return n
}
