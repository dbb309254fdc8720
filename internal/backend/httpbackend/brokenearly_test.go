package httpbackend_test

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"

	"peridotmoor.org/peridotmoor/internal/backend/httpbackend"
	"peridotmoor.org/peridotmoor/internal/outcome"
	"peridotmoor.org/peridotmoor/internal/problem"
)

// endlessZeros is an upload that never ends by itself.
type endlessZeros struct{}

func (endlessZeros) Read(p []byte) (int, error) {
	clear(p)
	return len(p), nil
}

// Guards against a part of an answer that counts as the complete one: the server answers a long
// upload at once and resets the connection while the upload is being written. Whether the write
// or the read is told of the reset first varies.
func TestPartOfAnEarlyAnswerIsNotComplete(t *testing.T) {
	const head = "HTTP/1.1 200 OK\r\n" + thisRequest + "\r\n"
	for name, answer := range map[string]string{
		"no length":                      head + "\r\npart",
		"no length, after 100":           "HTTP/1.1 100 Continue\r\n\r\n" + head + "\r\npart",
		"length not reached":             head + "Content-Length: 9\r\n\r\npart",
		"length not reached, after 100":  "HTTP/1.1 100 Continue\r\n\r\n" + head + "Content-Length: 9\r\n\r\npart",
		"no last chunk":                  head + "Transfer-Encoding: chunked\r\n\r\n4\r\npart\r\n",
		"no last chunk, after 100":       "HTTP/1.1 100 Continue\r\n\r\n" + head + "Transfer-Encoding: chunked\r\n\r\n4\r\npart\r\n",
		"HTTP/1.0, no length, after 100": "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.0 200 OK\r\n" + thisRequest + "\r\n\r\npart",
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			listener, err := net.Listen("tcp", "127.0.0.1:0")
			is.NoErr(err)
			defer listener.Close()
			go func() {
				for {
					conn, err := listener.Accept()
					if err != nil {
						return
					}
					go func() {
						if _, err := http.ReadRequest(bufio.NewReader(conn)); err == nil {
							_, _ = io.WriteString(conn, answer) // the client may have gone
							time.Sleep(5 * time.Millisecond)    // a reset may overtake bytes that have not been read
						}
						_ = conn.(*net.TCPConn).SetLinger(0)
						_ = conn.Close()
					}()
				}
			}()
			client := httpbackend.New("s-1", listener.Addr().String(), 3)
			defer client.Close()
			for range 40 {
				upload := newRequest("POST", "one", nil)
				upload.Body, upload.ContentLength = endlessZeros{}, 1<<40
				err := send(t, client, upload) // reads the body to its end
				is.True(err != nil)
				is.Equal(problem.From(err).Outcome, outcome.Unknown)
			}
		})
	}
}
