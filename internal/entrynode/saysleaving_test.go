package entrynode

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"
)

// maxLeavingTime is how long after a server has said that it is leaving it may still get
// requests, by the platform's pages.
const maxLeavingTime = 2 * time.Second

// keyOf returns a key that the server owns. It waits for one, since an instance may be ready
// before the grants of the first plan are answered.
func (f *fleet) keyOf(t *testing.T, b *fakeBackend) int {
	t.Helper()
	owned := -1
	waitFor(t, b.name+" owns a key", func() bool {
		for key := 0; key < 65536 && owned < 0; key += 997 {
			if b.ownsKey(key) {
				owned = key
			}
		}
		return owned >= 0
	})
	return owned
}

// Guards against requests that reach a server later than 2 s after an instance has passed
// on a response in which the server says that it is leaving, while its entry in the list
// says nothing, and against keys that stay with it.
func TestServerThatSaysItIsLeavingGetsNoRequests(t *testing.T) {
	for _, tc := range []struct {
		name string
		// before impairs the fleet before the server says so.
		before func(f *fleet)
		// served reports whether other servers own the keys of the server afterwards.
		served bool
	}{
		{"in touch", func(*fleet) {}, true},
		{"store out", func(f *fleet) { f.store.Store().Faults().SetUnavailable(true) }, false},
	} {
		t.Run(tc.name, func(t *testing.T) {
			is := is.New(t)
			f := newFleet(t, defaultRouteTimeout)
			client := newCaller()
			defer client.CloseIdleConnections()
			leaving := f.backends[0]
			key := f.keyOf(t, leaving)
			tc.before(f)
			leaving.leaving.Store(true)
			for n, i := range f.instances {
				for k := 0; ; k++ { // until the instance knows, by its own response or from another one
					id := fmt.Sprintf("before-%d-%d", n, k)
					sendRequest(client, i, id, key)
					if leaving.executed(id) == 0 || k == 3 {
						break
					}
				}
			}
			time.Sleep(maxLeavingTime)
			for n := range 60 {
				id := fmt.Sprintf("after-%d", n)
				status, _ := sendRequestWithTimeout(client, f.instances[n%3], id, key, 200*time.Millisecond)
				is.Equal(leaving.executed(id), 0) // reached the leaving server
				if tc.served {
					is.Equal(status, http.StatusOK)
				}
			}
			f.checkOwners(t)
		})
	}
}
