package callerhttp

import (
	"context"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"

	"github.com/matryer/is"

	"peridotmoor.org/peridotmoor/internal/membudget"
)

// Guards against a head of many short fields that takes many times the memory that is counted
// for it, and against one inside the limits that is refused while there is memory.
func TestShortFieldsCountByNumber(t *testing.T) {
	const fields = 4000
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		finish := make(chan struct{})
		server := NewServer(stubHandler{handle: func(context.Context, *http.Request) *Response {
			<-finish
			return &Response{Status: 200}
		}}, func() Limits { return Limits{HeaderBytes: 32 << 10} })
		server.Memory = membudget.New(membudget.LimitsFor(64 << 20))
		caller, r, ended := servePipe(server, nil)
		send(caller, strings.TrimSuffix(getOne, "\r\n")+strings.Repeat("a:\r\n", fields)+"\r\n")
		synctest.Wait()
		is.True(server.Memory.Held(membudget.Requests) >= (fields-smallHeadFields)*fieldCost+requestBytes)
		close(finish)
		response, _ := readResponse(t, r)
		is.Equal(response.StatusCode, 200)
		caller.Close()
		<-ended
		synctest.Wait()
		is.Equal(server.Memory.Total(), int64(0))
	})
}
