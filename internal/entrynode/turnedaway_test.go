package entrynode

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"
)

// Guards against an instance that the store turns away and that has lost its holder: it went
// on to send requests to a server that had said in its entry that it leaves, until that ended.
// The other servers must go on to serve its callers.
func TestInstanceTurnedAwayByTheStoreSparesLeavingServers(t *testing.T) {
	is := is.New(t)
	f := newFleetOf(t, map[string]any{"name": "s", "health_path": "/health"}, defaultRouteTimeout)
	var turnsAway atomic.Bool
	front := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if turnsAway.Load() {
			w.WriteHeader(http.StatusTooManyRequests)
			return
		}
		f.store.ServeHTTP(w, r)
	}))
	defer front.Close()
	f.startInstances(t, front.Listener.Addr().String(), "d")
	alone := f.instances[len(f.instances)-1]
	waitFor(t, "the fourth instance is ready", alone.ready)
	turnsAway.Store(true)
	others := f.instances[:len(f.instances)-1]
	for _, i := range others {
		i.stop()
	}
	for _, i := range others {
		<-i.ended
	}
	leaving := f.backends[0]
	leftAt := f.drain(t, leaving)

	client := newCaller()
	defer client.CloseIdleConnections()
	served := 0
	for n := 0; time.Since(leftAt) < 3*maxLeavingTime; n++ {
		late := time.Since(leftAt) > maxLeavingTime
		id := fmt.Sprintf("r-%d", n)
		status, _ := sendRequestWithTimeout(client, alone, id, 5, 500*time.Millisecond)
		if late {
			is.Equal(leaving.executed(id), 0) // reached the leaving server
			if status == http.StatusOK {
				served++
			}
		}
		time.Sleep(10 * time.Millisecond)
	}
	t.Log("served without the store and a holder:", served)
	is.True(served > 0)
}
