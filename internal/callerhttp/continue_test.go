package callerhttp

import (
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
)

// Guards against a missing 100 Continue, for which a caller waits before it sends the body,
// because the write deadline of the response before it has passed.
func TestContinueIsSentLongAfterTheLastResponse(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		server := NewServer(stubHandler{handle: echo}, noLimits)
		c, r, ended := servePipe(server, nil)
		send(c, getOne)
		readResponse(t, r)
		time.Sleep(defaultTimeout * 4 / 5)
		send(c, "POST /2 HTTP/1.1\r\nHost: h\r\nContent-Length: 1\r\nExpect: 100-continue\r\n\r\n")
		response, err := http.ReadResponse(r, nil)
		is.NoErr(err)
		is.Equal(response.StatusCode, http.StatusContinue)
		send(c, "a")
		_, body := readResponse(t, r)
		is.Equal(body, "/2:a")
		c.Close()
		<-ended
	})
}
