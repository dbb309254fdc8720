package backhttp

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"peridotmoor.org/peridotmoor/internal/sockopt"
)

// earlyServer answers a request before it has read the body, and reads the body later.
type earlyServer struct {
	// head are header lines of the response, length is that of its body, and extra follows it.
	head   string
	length int
	extra  string
	// endsSide makes the server end its sending side after the response.
	endsSide bool
	// pause is the time until it reads, and pace the time for each 16 KB.
	pause, pace time.Duration
	// received gets what has arrived of the body when that or the connection ends.
	received chan string
}

// serve serves one connection.
func (s earlyServer) serve(c net.Conn, r *bufio.Reader, _ int) {
	for {
		request, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nId: %s\r\n%sContent-Length: %d\r\n\r\n", request.Header.Get("Id"), s.head, s.length)
		_, _ = c.Write(bytes.Repeat([]byte("r"), s.length)) // the test checks the length
		_, _ = io.WriteString(c, s.extra)
		if s.endsSide {
			_ = c.(*net.TCPConn).CloseWrite() // ignored: the body shows whether the connection goes on
		}
		time.Sleep(s.pause)
		var body strings.Builder
		for err == nil {
			_, err = io.CopyN(&body, request.Body, 16<<10)
			time.Sleep(s.pace)
		}
		s.received <- body.String()
	}
}

// newEarlyPool returns a pool for the server, whose receive buffer is of 4 KB.
func newEarlyPool(t *testing.T, s earlyServer) *Pool {
	return newBackendPoolOn(t, receiveBuffer(4<<10), s.serve)
}

// Guards against giving up, reusing or resetting a connection while a server that has answered
// with success has not got the whole body (review/11, review/13): its caller is told that the
// request is done. The caller leaves after the response.
func TestAcceptedRequestArrivesWhole(t *testing.T) {
	const short, long, longest = 12_000, 300 << 10, 900 << 10
	for name, c := range map[string]struct {
		size     int
		streamed bool
		server   earlyServer
	}{
		"streamed":                              {longest, true, earlyServer{pause: 200 * time.Millisecond, pace: 5 * time.Millisecond}},
		"streamed, window closed for long":      {longest, true, earlyServer{pause: 2 * unackedTimeout}},
		"streamed, long response":               {longest, true, earlyServer{length: 400 << 10, pause: 200 * time.Millisecond, pace: 2 * time.Millisecond}},
		"streamed, longest response":            {longest, true, earlyServer{length: 8 << 20, pause: 200 * time.Millisecond}},
		"long response":                         {long, false, earlyServer{length: 400 << 10, pause: 200 * time.Millisecond, pace: 5 * time.Millisecond}},
		"long response to a short body":         {short, false, earlyServer{length: 400 << 10, pause: 2 * unackedTimeout}},
		"short body":                            {short, false, earlyServer{pause: 2 * unackedTimeout}},
		"shortest body with a close":            {6_000, false, earlyServer{head: "Connection: close\r\n", pause: 300 * time.Millisecond}},
		"announced close":                       {long, false, earlyServer{head: "Connection: close\r\n", pause: 200 * time.Millisecond}},
		"announced close, sending side ended":   {long, false, earlyServer{head: "Connection: close\r\n", endsSide: true, pause: 200 * time.Millisecond}},
		"sending side ended":                    {long, false, earlyServer{endsSide: true, pause: 200 * time.Millisecond}},
		"more than the response":                {long, false, earlyServer{extra: "HTTP/1.1 200 OK\r\nId: a\r\nContent-Length: 0\r\n\r\n", pause: 200 * time.Millisecond}},
		"more than the response, streamed":      {longest, true, earlyServer{extra: "x", pause: 200 * time.Millisecond}},
		"more than a long response, announced":  {long, false, earlyServer{head: "Connection: close\r\n", length: 400 << 10, extra: "x", pause: 200 * time.Millisecond}},
		"read after the deadline, with a pause": {long, false, earlyServer{pause: 1500 * time.Millisecond}},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			c.server.received = make(chan string, 1)
			pool := newEarlyPool(t, c.server)
			upload, body := newUpload("a", c.size, c.streamed)
			timeout := 10 * time.Second
			if strings.Contains(name, "deadline") {
				timeout = time.Second
			}
			ctx, cancel := context.WithTimeout(context.Background(), timeout)
			response, err := pool.Do(ctx, upload)
			is.NoErr(err)
			got := int64(len(response.Body))
			if response.Remainder != nil {
				n, err := io.Copy(io.Discard, response.Remainder)
				is.NoErr(err)
				is.NoErr(response.Remainder.Close())
				got += n
			}
			response.Release()
			cancel()
			is.Equal(got, int64(c.server.length))
			pool.Close() // the server is no longer listed
			is.True(<-c.server.received == body)
		})
	}
}

// Guards against a success that is passed on although its server cannot get the whole body any
// more: the caller has stopped sending it, or its time is over.
func TestSuccessNeedsTheWholeBody(t *testing.T) {
	for name, length := range map[string]int{"short response": 10, "long response": 400 << 10} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			server := earlyServer{length: length, received: make(chan string, 1)}
			pool := newEarlyPool(t, server)
			upload, _ := newUpload("a", 900<<10, true)
			upload.Remainder = io.MultiReader(io.LimitReader(upload.Remainder, 1000), goneReader{})
			response, err := pool.Do(t.Context(), upload)
			if err == nil && response.Remainder != nil {
				var n int64
				n, err = io.Copy(io.Discard, response.Remainder)
				is.True(int64(len(response.Body))+n < int64(length)) // does not look complete
				is.NoErr(response.Remainder.Close())
			}
			is.True(err != nil)
			<-server.received
		})
	}
}

// goneReader is the body of a caller that has left.
type goneReader struct{}

func (goneReader) Read([]byte) (int, error) { return 0, io.ErrUnexpectedEOF }

// Guards against rests that are given up without a trace, and against bytes of a process that
// ends which go on to be delivered.
func TestCutRequestIsReported(t *testing.T) {
	is := is.New(t)
	ended := make(chan struct{})
	pool := newSlowBackendPool(t, func(conn net.Conn, r *bufio.Reader, _ int) {
		defer close(ended)
		if _, err := http.ReadRequest(r); err == nil {
			fmt.Fprint(conn, responseText("a", "early"))
			sockopt.AwaitHangup(conn) // reads nothing
		}
	})
	cuts := make(chan Cut, 1)
	pool.Deliveries.OnCut = func(c Cut) { cuts <- c }
	upload, body := newUpload("a", 400<<10, false)
	upload.ID = "r-1"
	_, err := pool.Do(t.Context(), upload)
	is.NoErr(err)
	is.Equal(pool.Deliveries.Count(), 1)
	pool.Deliveries.GiveUp()
	cut := <-cuts
	is.Equal(cut.RequestID, "r-1")
	is.Equal(cut.Cause, errGivenUp)
	is.True(cut.Bytes > 0 && cut.Bytes < int64(len(body)))
	is.Equal(pool.Deliveries.Cuts(), uint64(1))
	<-ended
}
