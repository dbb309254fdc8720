package entrynode

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"
)

// drain makes the server say in its entry and its health checks that it leaves. It returns
// when the store has accepted that.
func (f *fleet) drain(t *testing.T, b *fakeBackend) time.Time {
	t.Helper()
	is := is.New(t)
	b.draining.Store(true)
	entry, err := f.store.Store().Get(context.Background(), "servers/"+b.name)
	is.NoErr(err)
	var value map[string]any
	is.NoErr(json.Unmarshal(entry.Value, &value))
	value["status"].(map[string]any)["state"] = "draining"
	text, err := json.Marshal(value)
	is.NoErr(err)
	_, err = f.store.Store().CompareAndSwap(context.Background(), entry.Key, entry.Revision, text, "")
	is.NoErr(err)
	return time.Now()
}

// Guards against keys that stay with a draining server, and against requests that fail
// because they are sent to it after its list entry says that it drains.
func TestKeysLeaveADrainingServer(t *testing.T) {
	is := is.New(t)
	f := newFleet(t, defaultRouteTimeout)
	draining := f.backends[0]
	stop := make(chan struct{})
	total := make(chan int, 1)
	go func() { total <- f.generateLoad(t, f.instances, stop) }()
	f.drain(t, draining)
	waitFor(t, "the draining server owns no key and another server owns each key", func() bool {
		for key := 0; key < 65536; key += 997 {
			if draining.ownsKey(key) || !f.backends[1].ownsKey(key) && !f.backends[2].ownsKey(key) {
				return false
			}
		}
		return true
	})
	client := newCaller()
	defer client.CloseIdleConnections()
	for n := range 20 {
		status, _ := sendRequest(client, f.instances[n%3], fmt.Sprintf("d-%d", n), n*3001)
		is.Equal(status, http.StatusOK)
	}
	close(stop)
	is.True(<-total > 0)
	f.checkOwners(t)
}
