package entrynode

import (
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"peridotmoor.org/peridotmoor/internal/dev/kvstore"
	"peridotmoor.org/peridotmoor/internal/dev/ports"
)

// Guards against a setting that has no effect, or a hedge that is lost between an instance
// and the holder on another one: requests at a slow server must be answered by another one,
// and both instances must count it.
func TestSlowRequestIsAnsweredByAnotherServer(t *testing.T) {
	is := is.New(t)
	store := kvstore.New()
	server := httptest.NewServer(store)
	t.Cleanup(server.Close)
	put(t, store, "op/config", map[string]any{
		"version": 1, "services": []any{map[string]any{"name": "s"}}, "limits": map[string]any{"max_body_bytes": 1 << 20},
		"hosts": []any{map[string]any{"host": "h", "paths": []any{map[string]any{
			"name": "r", "path_prefix": "/p/", "kind": "safe", "timeout_s": 4.0, "target_latency_s": 1.0, "service": "s", "max_attempts": 2}}}},
	})
	var backends []*fakeBackend
	for n := range 3 {
		b := newFakeBackend(fmt.Sprintf("i-%d", n))
		b.onExecute, b.unkeyed = func(int, string) {}, true
		b.start(t)
		backends = append(backends, b)
		put(t, store, "servers/"+b.name, map[string]any{
			"address": b.http.Listener.Addr().String(), "born": 1, "info": map[string]any{"service": "s", "zone": "d-a", "slots": 3},
			"status": map[string]any{"state": "ready", "sequence": 1, "cold_remaining_s": 0.0}})
	}
	reserved, err := ports.Reserve(2 * addressesPerInstance)
	is.NoErr(err)
	var instances []*instance
	for n, name := range []string{"a", "b"} {
		addresses := reserved.Addresses[n*addressesPerInstance:]
		instances = append(instances, startInstanceOf(t, Config{
			Name: name, Domain: "d-a", CallerAddress: addresses[0], ReadinessAddress: addresses[1], PeerAddress: addresses[2], MetricsAddress: addresses[3],
			StoreAddress: server.Listener.Addr().String(), GracePeriod: 4 * time.Second, RetryRatio: 1, RetryExtra: 100, RetryWindow: 10 * time.Second, HedgeShare: 0.5,
		}))
	}
	t.Cleanup(func() {
		for _, i := range instances {
			i.stop()
			<-i.ended
			if t.Failed() {
				t.Logf("log of instance %s:\n%s", i.config.Name, strings.Join(i.log.traced(), "\n"))
			}
		}
		reserved.Release()
	})
	client := newCaller()
	defer client.CloseIdleConnections()
	for _, i := range instances {
		waitFor(t, "instance "+i.config.Name+" is ready", i.ready)
		for n := range 80 { // it learns the delay
			status, _ := sendRequest(client, i, fmt.Sprintf("fast-%s-%d", i.config.Name, n), 1)
			is.Equal(status, http.StatusOK)
		}
	}
	for slow, i := range instances { // each with another slow server: the holder avoids one that it has found slow
		for n, b := range backends {
			b.serviceTime.Store(int64(5 * time.Millisecond))
			if n == slow {
				b.serviceTime.Store(int64(2 * time.Second))
			}
		}
		won := false
		for round := 0; round < 20 && !won; round++ {
			var group sync.WaitGroup
			for n := range 6 { // more than one server is used
				group.Go(func() {
					id := fmt.Sprintf("slow-%s-%d-%d", i.config.Name, round, n)
					if status, body := sendRequest(client, i, id, 1); status == http.StatusOK && !strings.HasPrefix(body, id+":") {
						t.Errorf("request %s got the response %q", id, body)
					}
				})
			}
			group.Wait()
			response, err := client.Get("http://" + i.config.MetricsAddress + "/metrics")
			is.NoErr(err)
			page, err := io.ReadAll(response.Body)
			is.NoErr(err)
			response.Body.Close()
			won = strings.Contains(string(page), `peridotmoor_hedges_total{result="won",service="s"}`)
		}
		is.True(won)
	}
}
