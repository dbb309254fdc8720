package peer

import (
	"bytes"
	"context"
	"io"
	"sync"
	"testing"

	"github.com/matryer/is"
)

// Guards against a pooled connection on which data of one call reaches the next
// one: concurrent calls on reused connections must each get their own response.
func TestForwardReusesConnections(t *testing.T) {
	address, client := serve(t, echo)
	var running sync.WaitGroup
	for range 16 {
		running.Go(func() {
			for range 50 {
				is := is.New(t)
				r, body := newRequest("id-1", 100)
				r.Buffered = body
				response, err := client.Forward(context.Background(), address, r)
				is.NoErr(err)
				if err != nil {
					return
				}
				got, err := io.ReadAll(response.Body)
				is.NoErr(err)
				is.True(bytes.Equal(got, body))
				is.NoErr(response.Body.Close())
			}
		})
	}
	running.Wait()
}
