// Package callers is the development stand-in for callers: it sends an open-loop
// load of mixed requests and checks the responses byte for byte.
package callers

import (
	"context"
	"net/http"
	"sync/atomic"
	"time"
)

// Interval and timeout of the readiness probes of the load balancer.
const (
	probeInterval = 100 * time.Millisecond
	probeTimeout  = 300 * time.Millisecond
)

// EntryInstance is one entry instance as the platform's load balancer sees it.
type EntryInstance struct {
	// CallerAddress and OperatorAddress are the host:port of the endpoints for callers and operators.
	CallerAddress   string
	OperatorAddress string
	ready           atomic.Bool
}

// Ready reports whether the last probe found the instance ready.
func (e *EntryInstance) Ready() bool {
	return e.ready.Load()
}

// probe updates ready from the readiness endpoint of the instance.
func (e *EntryInstance) probe(ctx context.Context, client *http.Client) {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+e.OperatorAddress+"/ready", nil)
	if err != nil {
		e.ready.Store(false)
		return
	}
	response, err := client.Do(request)
	if err != nil {
		e.ready.Store(false)
		return
	}
	_ = response.Body.Close()
	e.ready.Store(response.StatusCode == http.StatusOK)
}
