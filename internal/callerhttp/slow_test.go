package callerhttp

import (
	"bufio"
	"bytes"
	"context"
	"io"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
)

// slowBody is a response body that arrives at the given pace.
type slowBody struct {
	parts int
	pause time.Duration
}

func (s *slowBody) Read(p []byte) (int, error) {
	if s.parts == 0 {
		return 0, io.EOF
	}
	time.Sleep(s.pause)
	s.parts--
	return copy(p, "abcd"), nil
}

func (*slowBody) Close() error { return nil }

// Guards against a limit on the time of a whole response, which cuts a body that arrives
// slowly.
func TestSlowServerIsNotCut(t *testing.T) {
	for name, length := range map[string]int64{"length": 40, "chunks": -1} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				server := NewServer(stubHandler{handle: func(context.Context, *http.Request) *Response {
					return &Response{Status: 200, Remainder: &slowBody{10, 3 * time.Second}, Length: length}
				}}, noLimits)
				c, r, ended := servePipe(server, nil)
				send(c, getOne)
				_, body := readResponse(t, r)
				is.Equal(len(body), 40)
				c.Close()
				<-ended
			})
		})
	}
}

// Guards against a limit on the time of a whole response, which cuts a caller who reads
// slowly but steadily.
func TestSlowCallerIsNotCut(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		server := NewServer(stubHandler{handle: func(context.Context, *http.Request) *Response {
			return &Response{Status: 200, Body: bytes.Repeat([]byte("a"), 40)}
		}}, noLimits)
		c, _, ended := servePipe(server, nil)
		send(c, getOne)
		response, err := http.ReadResponse(bufio.NewReader(slowReader{c}), nil)
		is.NoErr(err)
		body, err := io.ReadAll(response.Body)
		is.NoErr(err)
		is.Equal(len(body), 40)
		c.Close()
		<-ended
	})
}

// slowReader reads one byte a second.
type slowReader struct{ source io.Reader }

func (s slowReader) Read(p []byte) (int, error) {
	time.Sleep(time.Second)
	return s.source.Read(p[:1])
}

// Guards against a caller who reads nothing and keeps its connection for ever.
func TestCallerThatReadsNothingIsDisconnected(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		failed := make(chan error, 1)
		server := NewServer(stubHandler{handle: func(context.Context, *http.Request) *Response {
			return &Response{Status: 200, OnWriteError: func(err error) { failed <- err }}
		}}, noLimits)
		c, _, ended := servePipe(server, nil)
		send(c, getOne)
		<-ended
		if err := <-failed; err == nil {
			t.Error("the response was reported as written")
		}
	})
}
