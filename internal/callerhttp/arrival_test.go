package callerhttp

import (
	"context"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
)

// Guards against a request that waits for an earlier one of its connection and whose time is
// counted only from the end of that wait: its server gets more time than the caller has left.
func TestTimeOfARequestCountsWhileItWaitsForAnEarlierOne(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		arrivals := map[string]time.Duration{}
		begin := time.Now()
		server := NewServer(stubHandler{
			pipelined: func(*http.Request) bool { return false },
			arrived:   func(r *http.Request, at time.Time) { arrivals[r.URL.Path] = at.Sub(begin) },
			handle: func(context.Context, *http.Request) *Response {
				time.Sleep(3 * time.Second)
				return &Response{Status: 200}
			},
		}, noLimits)
		c, r, ended := servePipe(server, nil)
		send(c, getOne+getTwo)
		readResponse(t, r)
		readResponse(t, r)
		is.Equal(arrivals, map[string]time.Duration{"/1": 0, "/2": 0})
		is.NoErr(c.Close())
		<-ended
	})
}
