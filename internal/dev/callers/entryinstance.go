// Package callers is the development stand-in for callers: open-loop load of
// mixed requests, whose answers are checked byte for byte.
package callers

import (
	"context"
	"net/http"
	"sync/atomic"
	"time"
)

// probeInterval and probeTimeout say how the load balancer checks the entry instances.
const (
	probeInterval = 100 * time.Millisecond
	probeTimeout  = 300 * time.Millisecond
)

// EntryInstance is one entry instance as the platform's load balancer sees it.
type EntryInstance struct {
	// CallerAddress and Operators are host:port of the instance's endpoints.
	CallerAddress   string
	OperatorAddress string
	ready           atomic.Bool
}

// Ready reports whether the last probe found the instance ready.
func (e *EntryInstance) Ready() bool {
	return e.ready.Load()
}

// probe asks the instance whether it is ready.
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
