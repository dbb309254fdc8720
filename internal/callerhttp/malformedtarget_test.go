package callerhttp

import (
	"bufio"
	"net/http"
	"testing"

	"github.com/matryer/is"
)

// Guards against a request whose target has an invalid escape that is taken for a lost
// connection: it gets no answer, and the requests that were sent before it are cancelled.
func TestInvalidEscapeIsAnswered(t *testing.T) {
	is := is.New(t)
	_, c := startServer(t, stubHandler{handle: echo})
	_, err := c.Write([]byte("GET /a%zz HTTP/1.1\r\nHost: h\r\n\r\n"))
	is.NoErr(err)
	response, _ := readResponse(t, bufio.NewReader(c))
	is.Equal(response.StatusCode, http.StatusBadRequest)
}
