package callerhttp

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"testing"
	"time"
)

// pipelineRequests sends requests in batches until the server closes the connection, and
// records the paths that were answered.
func pipelineRequests(c net.Conn, name string, answered *sync.Map) {
	defer c.Close()
	r := bufio.NewReader(c)
	for n := 0; ; n += 4 {
		for i := range 4 {
			fmt.Fprintf(c, "GET /%s/%d HTTP/1.1\r\nHost: h\r\n\r\n", name, n+i) // a failure shows when the response is read
		}
		for range 4 {
			response, err := http.ReadResponse(r, nil)
			if err != nil {
				return
			}
			body, err := io.ReadAll(response.Body)
			if err != nil {
				return
			}
			answered.Store(string(body), nil)
		}
	}
}

// Guards against requests that ran and whose callers got no response, when connections
// are closed by a planned stop under load, or only between requests as idle ones.
func TestDrainingUnderLoadAnswersEveryRequestThatRan(t *testing.T) {
	for name, draining := range map[string]bool{"draining": true, "idle close": false} {
		t.Run(name, func(t *testing.T) { closeUnderLoad(t, draining) })
	}
}

func closeUnderLoad(t *testing.T, draining bool) {
	const conns = 32
	var ran, answered sync.Map
	busy := make(chan struct{}, 8*conns)
	server, c := startServer(t, stubHandler{handle: func(_ context.Context, r *http.Request) *Response {
		ran.Store(r.URL.Path, nil)
		select {
		case busy <- struct{}{}:
		default:
		}
		time.Sleep(time.Duration(len(r.URL.Path)%3) * time.Millisecond)
		return &Response{Status: 200, Body: []byte(r.URL.Path)}
	}})
	var callers sync.WaitGroup
	for n := range conns {
		callers.Go(func() {
			c, err := net.Dial("tcp4", c.RemoteAddr().String())
			if err != nil {
				t.Error(err)
				return
			}
			pipelineRequests(c, fmt.Sprint(n), &answered)
		})
	}
	for range cap(busy) {
		<-busy // until the load is on
	}
	if draining {
		server.StartDraining()
	}
	stop := make(chan struct{})
	var closer sync.WaitGroup
	closer.Go(func() {
		for {
			select {
			case <-stop:
				return
			case <-time.After(time.Millisecond):
				server.CloseIdle()
			}
		}
	})
	callers.Wait()
	close(stop)
	closer.Wait()
	ran.Range(func(path, _ any) bool {
		if _, ok := answered.Load(path); !ok {
			t.Errorf("%v ran, but its caller got no response", path)
		}
		return true
	})
}
