package backhttp

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"

	"peridotmoor.org/peridotmoor/internal/membudget"
	"peridotmoor.org/peridotmoor/internal/sockopt"
)

// newSlowBackendPool returns a pool for a server whose connections have a small receive buffer,
// so that a server that does not read closes its window at once.
func newSlowBackendPool(t *testing.T, script func(c net.Conn, r *bufio.Reader, n int)) *Pool {
	t.Helper()
	return newBackendPoolOn(t, receiveBuffer(16<<10), script)
}

// receiveBuffer returns the configuration of a listener whose connections have a receive buffer
// of that size.
func receiveBuffer(bytes int) net.ListenConfig {
	return net.ListenConfig{Control: func(_, _ string, raw syscall.RawConn) (err error) {
		_ = raw.Control(func(fd uintptr) { err = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, bytes) })
		return err
	}}
}

// newUpload returns a request with a body of size bytes that shows missing bytes, and that body.
func newUpload(id string, size int, streamed bool) (*Request, string) {
	body := strings.Repeat(id, size)[:size]
	upload := newRequest(id)
	upload.Method = "POST"
	upload.Head = []byte(fmt.Sprintf("POST /%s HTTP/1.1\r\nHost: h\r\nId: %s\r\nContent-Length: %d\r\n\r\n", id, id, size))
	upload.Body = []byte(body)
	if streamed {
		upload.Body, upload.Remainder = upload.Body[:size/2], strings.NewReader(body[size/2:])
	}
	return upload, body
}

// Guards against cutting off an upload that its server has answered with success before it has
// read the body, and reads later (review/6): the caller is told that the upload is done. The
// caller's leaving after the response must not cut it off either.
func TestUploadIsSentWholeAfterAnEarlySuccess(t *testing.T) {
	for name, streamed := range map[string]bool{"buffered": false, "streamed": true} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			const size = 300 << 10
			received := make(chan string, 1)
			pool := newSlowBackendPool(t, func(c net.Conn, r *bufio.Reader, n int) {
				for {
					got, err := http.ReadRequest(r)
					if err != nil {
						return
					}
					fmt.Fprint(c, responseText(got.Header.Get("Id"), "early"))
					if got.Method == "POST" {
						time.Sleep(60 * time.Millisecond)
						body, _ := io.ReadAll(got.Body) // what has arrived if the connection ends
						received <- string(body)
					}
				}
			})
			upload, body := newUpload("a", size, streamed)
			ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
			response, err := pool.Do(ctx, upload)
			cancel()
			is.NoErr(err)
			is.Equal(string(response.Body), "early")
			is.True(<-received == body) // the body arrived whole
			for pool.Deliveries.Count() > 0 {
				time.Sleep(time.Millisecond)
			}
			_, err = pool.Do(context.Background(), newRequest("b"))
			is.NoErr(err)
			is.Equal(pool.DialCount(), uint64(1)) // the connection goes on
		})
	}
}

// Guards against sending the rest of an upload to a server that has refused it, and against an
// upload that holds its caller or its memory for ever because the server never reads it.
func TestUploadEndsWithARefusalOrItsTime(t *testing.T) {
	for name, statusLine := range map[string]string{"refusal": "HTTP/1.1 503 Busy", "success that is never read": "HTTP/1.1 200 OK"} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			ended := make(chan struct{})
			pool := newSlowBackendPool(t, func(conn net.Conn, r *bufio.Reader, _ int) {
				defer close(ended)
				got, err := http.ReadRequest(r)
				if err != nil {
					return
				}
				fmt.Fprintf(conn, "%s\r\nId: %s\r\nContent-Length: 0\r\n\r\n", statusLine, got.Header.Get("Id"))
				sockopt.AwaitHangup(conn) // reads nothing
			})
			upload, _ := newUpload("a", 4<<20, false)
			ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
			defer cancel()
			_, err := pool.Do(ctx, upload)
			is.NoErr(err)
			<-ended // the connection is given up
			for pool.Deliveries.Count() > 0 {
				time.Sleep(time.Millisecond)
			}
			is.Equal(pool.memory.Held(membudget.Uploads), int64(0))
		})
	}
}
