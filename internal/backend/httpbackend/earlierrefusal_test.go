package httpbackend_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"

	"github.com/matryer/is"

	"peridotmoor.org/peridotmoor/internal/backend"
	"peridotmoor.org/peridotmoor/internal/backend/httpbackend"
	"peridotmoor.org/peridotmoor/internal/outcome"
	"peridotmoor.org/peridotmoor/internal/problem"
)

// Guards against an order that is reported as not run, although its second sending runs:
// the server writes the refusal of the first one, which has the same ID, once more.
func TestRefusalWrittenAgainIsNotTheAnswerToTheSecondSending(t *testing.T) {
	is := is.New(t)
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	is.NoErr(err)
	defer listener.Close()
	refusal := fmt.Sprintf("HTTP/1.1 503 Busy\r\n%s\r\n%s: true\r\nContent-Length: 0\r\n\r\n", thisRequest, backend.HeaderNotRun)
	go func() {
		for n := 0; ; n++ {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go func() {
				defer conn.Close()
				reader := bufio.NewReader(conn)
				for {
					request, err := http.ReadRequest(reader)
					if err != nil {
						return
					}
					if _, err := io.Copy(io.Discard, request.Body); err != nil {
						return
					}
					answer := wholeResponse
					if n == 0 {
						answer = refusal // also to the second request, which runs
					}
					if _, err := conn.Write([]byte(answer)); err != nil {
						return
					}
				}
			}()
		}
	}()
	client := httpbackend.New("s-1", listener.Addr().String(), 3)
	defer client.Close()
	r := newRequest("POST", "one", nil)
	_, err = client.Send(t.Context(), order, r)
	is.Equal(problem.From(err).Outcome, outcome.NotRun)
	r.Resent = true
	is.NoErr(send(t, client, r))
}
