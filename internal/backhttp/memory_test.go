package backhttp

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"peridotmoor.org/peridotmoor/internal/membudget"
)

// checkReturned fails the test if memory is held.
func checkReturned(t *testing.T, memory *membudget.Account) {
	t.Helper()
	if n := memory.Total(); n != 0 {
		t.Fatalf("%d bytes were not returned", n)
	}
}

// useUp takes the memory for all that is not small, and returns a function that returns it.
func useUp(memory *membudget.Account) (release func()) {
	n := memory.Limits().Large
	memory.Unattributed().Charge(membudget.Uploads, n)
	return func() { memory.Unattributed().Return(membudget.Uploads, n) }
}

// Guards against memory that shrinks with each large response, whatever becomes of it.
func TestResponsesGiveTheirMemoryBack(t *testing.T) {
	long := strings.Repeat("x", 2*smallBodyBytes)
	longHead := "X-A: " + strings.Repeat("a", 2*smallHeadBytes) + "\r\n"
	for name, text := range map[string]string{
		"small":                           responseText("a", "body"),
		"long head":                       "HTTP/1.1 200 OK\r\nId: a\r\n" + longHead + "Content-Length: 1\r\n\r\nx",
		"long body":                       responseText("a", long),
		"long body in chunks":             fmt.Sprintf("HTTP/1.1 200 OK\r\nId: a\r\nTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n0\r\n\r\n", len(long), long),
		"long body cut off":               fmt.Sprintf("HTTP/1.1 200 OK\r\nId: a\r\nContent-Length: %d\r\n\r\n%s", 3*len(long), long),
		"long head cut off":               "HTTP/1.1 200 OK\r\nId: a\r\n" + longHead,
		"long head to another request":    "HTTP/1.1 200 OK\r\nId: other\r\n" + longHead + "Content-Length: 1\r\n\r\nx" + responseText("a", "body"),
		"longer than may be buffered":     responseText("a", strings.Repeat("x", 2*maxBufferedBytes)),
		"longer than may be, in no frame": "HTTP/1.1 200 OK\r\nId: a\r\n\r\n" + strings.Repeat("x", 2*maxBufferedBytes),
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				pool, _, closed := newPipePool(t, func(s *pipeServer) { s.send(text); _ = s.Close() })
				response, err := pool.Do(t.Context(), newRequest("a"))
				if err == nil {
					if response.Remainder != nil {
						_, _ = io.Copy(io.Discard, response.Remainder)
						response.Remainder.Close()
					}
					response.Release()
					response.Release() // has no effect
				}
				pool.Close()
				<-closed
				synctest.Wait()
				checkReturned(t, pool.memory)
			})
		})
	}
}

// Guards against responses that wait, or fail, because other servers use up the memory: only
// long heads wait, and long bodies are streamed.
func TestSmallResponsesNeedNoMemory(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		pool, _, closed := newPipePool(t, func(s *pipeServer) { s.send(responseText("a", strings.Repeat("x", smallBodyBytes))) })
		defer useUp(pool.memory)()
		response, err := pool.Do(t.Context(), newRequest("a"))
		is.NoErr(err)
		is.Equal(len(response.Body), smallBodyBytes)
		is.True(response.Remainder == nil)
		pool.Close()
		<-closed
	})
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		body := strings.Repeat("x", 3*smallBodyBytes)
		pool, _, closed := newPipePool(t, func(s *pipeServer) { s.send(responseText("a", body)) })
		defer useUp(pool.memory)()
		response, err := pool.Do(t.Context(), newRequest("a"))
		is.NoErr(err)
		rest, err := io.ReadAll(response.Remainder)
		is.NoErr(err)
		is.Equal(string(response.Body)+string(rest), body)
		is.Equal(response.Length, int64(len(body)))
		response.Remainder.Close()
		response.Release()
		pool.Close()
		<-closed
	})
}

// Guards against a long head that fails at once, or that waits for memory longer than its
// request does.
func TestLongHeadWaitsForMemory(t *testing.T) {
	head := "HTTP/1.1 200 OK\r\nId: a\r\nX-A: " + strings.Repeat("a", 2*smallHeadBytes) + "\r\nContent-Length: 0\r\n\r\n"
	for name, freed := range map[string]bool{"until it is free": true, "until the request ends": false} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				pool, _, closed := newPipePool(t, func(s *pipeServer) { s.send(head) })
				release := useUp(pool.memory)
				ctx, cancel := context.WithTimeout(t.Context(), 2*time.Second)
				defer cancel()
				began := time.Now()
				if freed {
					time.AfterFunc(time.Second, release)
				}
				response, err := pool.Do(ctx, newRequest("a"))
				if freed {
					is.NoErr(err)
					is.Equal(response.Status, http.StatusOK)
					is.Equal(time.Since(began), time.Second)
					response.Release()
				} else {
					is.True(err != nil)
					is.Equal(time.Since(began), 2*time.Second)
					release()
				}
				pool.Close()
				<-closed
				checkReturned(t, pool.memory)
			})
		})
	}
}
