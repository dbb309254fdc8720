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
	// ReadyPath is the path of the readiness probe; the default is /ready.
	ReadyPath string
	// MaxMisses is how many failed probes in a row leave the instance ready.
	MaxMisses int
	ready     atomic.Bool
	misses    int
}

// Ready reports whether the last probe found the instance ready.
func (e *EntryInstance) Ready() bool {
	return e.ready.Load()
}

// probe updates ready from the readiness endpoint of the instance.
func (e *EntryInstance) probe(ctx context.Context, client *http.Client) {
	if e.answersReady(ctx, client) {
		e.misses = 0
		e.ready.Store(true)
		return
	}
	e.misses++
	if e.misses > e.MaxMisses {
		e.ready.Store(false)
	}
}

func (e *EntryInstance) answersReady(ctx context.Context, client *http.Client) bool {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	path := e.ReadyPath
	if path == "" {
		path = "/ready"
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+e.OperatorAddress+path, nil)
	if err != nil {
		return false
	}
	response, err := client.Do(request)
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}
