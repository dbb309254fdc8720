package httpbackend_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"

	"github.com/matryer/is"
	"github.com/pkg/errors"

	"peridotmoor.org/peridotmoor/internal/backend"
	"peridotmoor.org/peridotmoor/internal/backend/httpbackend"
	"peridotmoor.org/peridotmoor/internal/dev/rawserver"
	"peridotmoor.org/peridotmoor/internal/outcome"
	"peridotmoor.org/peridotmoor/internal/problem"
)

// startSequence starts a server that answers the requests on each connection with the
// responses in turn and then waits for its end, and returns a client of it.
func startSequence(t *testing.T, responses ...string) *httpbackend.Server {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() })
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go func() {
				defer conn.Close()
				reader := bufio.NewReader(conn)
				for _, response := range responses {
					request, err := http.ReadRequest(reader)
					if err != nil {
						return
					}
					_, _ = io.Copy(io.Discard, request.Body) // a failure shows at the next request
					_, _ = io.WriteString(conn, response)    // the client may have gone
				}
				_, _ = reader.ReadByte() // returns when the client has closed the connection
			}()
		}
	}()
	client := httpbackend.New("s-1", listener.Addr().String(), 3)
	t.Cleanup(client.Close)
	return client
}

// Guards against a caller that gets a response whose head has a malformed line, and against a
// request that is reported as not run after such a refusal, on new and on kept connections.
func TestMalformedHeaderLineIsNoAnswer(t *testing.T) {
	const refusal = "HTTP/1.1 503 Busy\r\n" + thisRequest + "\r\n" + backend.HeaderNotRun + ": true\r\nContent-Length: 0\r\n\r\n"
	const chunked = "HTTP/1.1 200 OK\r\n" + thisRequest + "\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n"
	for kind, response := range map[string]string{"counted": wholeResponse, "chunked": chunked, "refusal": refusal} {
		for name, line := range rawserver.MalformedLines {
			t.Run(kind+", "+name, func(t *testing.T) {
				is := is.New(t)
				for _, sent := range rawserver.WithLine(response, line) {
					for _, before := range [][]string{nil, {wholeResponse}} {
						client := startSequence(t, append(before, sent)...)
						for range before {
							is.NoErr(send(t, client, newRequest("POST", "one", nil)))
						}
						err := send(t, client, newRequest("POST", "one", nil))
						if err == nil || problem.From(err).Outcome != outcome.Unknown {
							t.Errorf("%q is taken for a response, error %v", sent, err)
						}
					}
				}
			})
		}
	}
}

// Guards against a control call that counts as acknowledged, or as refused for a higher token,
// because of a response whose head has a malformed line.
func TestMalformedHeaderLineIsNoAnswerToControlCall(t *testing.T) {
	response := func(status int) string {
		return fmt.Sprintf("HTTP/1.1 %d Text\r\nContent-Length: %d\r\n\r\n%s", status, len(controlBody), controlBody)
	}
	for _, status := range []int{200, 409} {
		for call, run := range controlCalls() {
			for name, line := range rawserver.MalformedLines {
				t.Run(fmt.Sprintf("%d, %s, %s", status, call, name), func(t *testing.T) {
					is := is.New(t)
					for _, sent := range rawserver.WithLine(response(status), line) {
						for _, before := range [][]string{nil, {response(200)}} {
							client := startSequence(t, append(before, sent)...)
							for range before {
								is.NoErr(run(context.Background(), client))
							}
							err := run(context.Background(), client)
							if !errors.Is(err, httpbackend.ErrControl) || errors.Is(err, backend.ErrHigherToken) {
								t.Errorf("%q is taken for a response, error %v", sent, err)
							}
						}
					}
				})
			}
		}
	}
}
