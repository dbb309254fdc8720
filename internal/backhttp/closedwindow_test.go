package backhttp

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"
)

// Guards against giving up an upload because its server, which is up, reads nothing for a while
// (review/7): Linux counts a closed window against TCP_USER_TIMEOUT. In the second case the
// server has answered before, and the rest lies in the kernel.
func TestUploadOutlastsAServerThatPauses(t *testing.T) {
	for name, c := range map[string]struct {
		size  int
		early bool
	}{"before its answer": {300 << 10, false}, "after its answer": {300 << 10, true}, "in the kernel, before its answer": {60 << 10, false}, "in the kernel, after its answer": {60 << 10, true}} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			received := make(chan string, 1)
			pool := newSlowBackendPool(t, func(conn net.Conn, r *bufio.Reader, _ int) {
				for {
					got, err := http.ReadRequest(r)
					if err != nil {
						return
					}
					if c.early {
						fmt.Fprint(conn, responseText("a", "whole"))
					}
					time.Sleep(3 * unackedTimeout)
					body, _ := io.ReadAll(got.Body) // what has arrived if the connection has ended
					received <- string(body)
					if !c.early {
						fmt.Fprint(conn, responseText("a", "whole"))
					}
				}
			})
			ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
			defer cancel()
			upload, body := newUpload("a", c.size, false)
			response, err := pool.Do(ctx, upload)
			is.NoErr(err)
			is.Equal(string(response.Body), "whole")
			is.True(<-received == body)
		})
	}
}
