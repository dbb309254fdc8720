package entrynode

import (
	"context"
	"net/http"
	"testing"
	"time"
)

// requestTimeout ends a request that is never answered. It is longer than any wait that
// the tests expect.
const requestTimeout = 5 * time.Second

// probeClient sends readiness probes. Each has a connection of its own, so that the probe
// of an instance that has ended does not wait on a kept one.
var probeClient = &http.Client{Transport: &http.Transport{DisableKeepAlives: true}, Timeout: requestTimeout}

// instance is one Node under test.
type instance struct {
	config Config
	log    eventLog
	stop   context.CancelFunc
	// done receives the result of Run, and ended is closed after it.
	done  chan error
	ended chan struct{}
}

// startInstance starts an instance on four addresses on which nothing listens.
func startInstance(t *testing.T, store, name string, addresses []string) *instance {
	t.Helper()
	return startInstanceOf(t, Config{
		Name: name, Domain: "d-" + name, CallerAddress: addresses[0], ReadinessAddress: addresses[1], PeerAddress: addresses[2], MetricsAddress: addresses[3],
		StoreAddress: store, GracePeriod: 4 * time.Second, RetryRatio: 0.2, RetryExtra: 20, RetryWindow: 10 * time.Second,
	})
}

func startInstanceOf(t *testing.T, config Config) *instance {
	t.Helper()
	i := &instance{done: make(chan error, 1), ended: make(chan struct{}), config: config}
	ctx, stop := context.WithCancel(context.Background())
	i.stop = stop
	go func() {
		defer close(i.ended)
		i.done <- New(i.config, &i.log).Run(ctx)
	}()
	t.Cleanup(stop)
	return i
}

func (i *instance) ready() bool {
	response, err := probeClient.Get("http://" + i.config.ReadinessAddress + "/readiness")
	if err != nil {
		return false
	}
	response.Body.Close()
	return response.StatusCode == http.StatusOK
}
