package backhttp

import (
	"bufio"
	"net"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"github.com/pkg/errors"

	"peridotmoor.org/peridotmoor/internal/membudget"
)

// Guards against a request that is said to have left this process before its bytes had, or
// only with its response: nobody could tell a late write from a slow server.
func TestTimeOfTheWriteIsReported(t *testing.T) {
	const untilRead, untilAnswer = 300 * time.Millisecond, 200 * time.Millisecond
	for name, answers := range map[string]bool{"answered": true, "not answered": false} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				client, server := net.Pipe()
				go func() {
					defer server.Close()
					time.Sleep(untilRead) // a pipe has no buffer, so that the write takes as long
					if _, ok := readRequest(bufio.NewReader(server)); !ok {
						return
					}
					time.Sleep(untilAnswer)
					if answers {
						_, _ = server.Write([]byte(responseText("r1", "")))
					}
				}()
				pool := NewPool("", time.Second, membudget.Default())
				c := newConn(client)
				c.idleSince = time.Now()
				pool.put(c)
				began := time.Now()
				response, err := pool.Do(t.Context(), newRequest("r1"))
				is.Equal(time.Since(began), untilRead+untilAnswer)
				var requestError *RequestError
				switch {
				case answers:
					is.NoErr(err)
					is.Equal(response.WrittenAt.Sub(began), untilRead)
					response.Release()
				default:
					is.True(errors.As(err, &requestError))
					is.Equal(requestError.WrittenAt.Sub(began), untilRead)
				}
				pool.Close()
				synctest.Wait()
			})
		})
	}
}
