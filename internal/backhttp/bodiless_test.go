package backhttp

import (
	"bufio"
	"context"
	"fmt"
	"net"
	"net/http"
	"testing"

	"github.com/matryer/is"
)

// Guards against waiting for a body that never comes, as a response to HEAD and one with
// status 204 or 304 has none whatever its head states; against losing the length that the
// head states; and against a connection that is out of step afterwards.
func TestResponseWithoutBodyEndsWithItsHead(t *testing.T) {
	for name, c := range map[string]struct {
		method, status, framing string
		length                  int64
		omitted                 bool
	}{
		"HEAD":                            {"HEAD", "200 OK", "Content-Length: 5\r\n", 5, true},
		"HEAD, empty":                     {"HEAD", "200 OK", "Content-Length: 0\r\n", 0, true},
		"HEAD, longer than is buffered":   {"HEAD", "200 OK", fmt.Sprintf("Content-Length: %d\r\n", maxBufferedBytes+1), maxBufferedBytes + 1, true},
		"HEAD, chunked":                   {"HEAD", "200 OK", "Transfer-Encoding: chunked\r\n", -1, true},
		"HEAD, chunked and with a length": {"HEAD", "200 OK", "Transfer-Encoding: chunked\r\nContent-Length: 5\r\n", -1, true},
		"HEAD, no length":                 {"HEAD", "200 OK", "", -1, true},
		"HEAD, not modified":              {"HEAD", "304 Not Modified", "Content-Length: 5\r\n", 5, true},
		"HEAD, no content":                {"HEAD", "204 No Content", "", 0, true},
		"GET, not modified":               {"GET", "304 Not Modified", "Content-Length: 5\r\n", 5, true},
		"GET, not modified, no length":    {"GET", "304 Not Modified", "", -1, true},
		"GET, no content":                 {"GET", "204 No Content", "", 0, true},
		"GET, no content, with a length":  {"GET", "204 No Content", "Content-Length: 5\r\n", 0, true},
		"GET, empty":                      {"GET", "200 OK", "Content-Length: 0\r\n", 0, false},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			pool := newBackendPool(t, func(conn net.Conn, r *bufio.Reader, _ int) {
				for n := 0; ; n++ {
					got, ok := readRequest(r)
					switch {
					case !ok:
						return
					case n == 0:
						fmt.Fprintf(conn, "HTTP/1.1 %s\r\nId: a\r\n%s\r\n", c.status, c.framing)
					default:
						fmt.Fprint(conn, responseText(got.Header.Get("Id"), "whole"))
					}
				}
			})
			request := newRequest("a")
			request.Method, request.Head = c.method, []byte(c.method+" /a HTTP/1.1\r\nHost: h\r\nId: a\r\n\r\n")
			response, err := pool.Do(context.Background(), request)
			is.NoErr(err)
			is.Equal(len(response.Body), 0)
			is.Equal(response.Remainder, nil)
			is.Equal(response.Length, c.length)
			is.Equal(response.BodyOmitted, c.omitted)
			response, err = pool.Do(context.Background(), newRequest("b"))
			is.NoErr(err)
			is.Equal(string(response.Body), "whole")
			is.Equal(response.Length, int64(5))
			is.True(!response.BodyOmitted)
			is.Equal(pool.DialCount(), uint64(1))
		})
	}
}

// Guards against a body that a faulty server sends behind a response to HEAD and that is
// taken for the next response.
func TestUnwantedBodyEndsTheConnection(t *testing.T) {
	is := is.New(t)
	pool := newBackendPool(t, func(conn net.Conn, r *bufio.Reader, n int) {
		got, ok := readRequest(r)
		switch {
		case !ok:
		case n == 0:
			fmt.Fprint(conn, responseText("a", responseText("b", "wrong")))
			_, _ = r.ReadByte() // returns when the client has closed the connection
		default:
			fmt.Fprint(conn, responseText(got.Header.Get("Id"), "right"))
		}
	})
	request := newRequest("a")
	request.Method, request.Head = http.MethodHead, []byte("HEAD /a HTTP/1.1\r\nHost: h\r\nId: a\r\n\r\n")
	response, err := pool.Do(context.Background(), request)
	is.NoErr(err)
	is.Equal(len(response.Body), 0)
	response, err = pool.Do(context.Background(), newRequest("b"))
	is.NoErr(err)
	is.Equal(string(response.Body), "right")
}
