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
// (review/7, review/14): Linux counts a closed window against TCP_USER_TIMEOUT. In every second
// case the server has answered before, and the rest lies in the kernel.
func TestUploadOutlastsAServerThatPauses(t *testing.T) {
	for name, c := range map[string]struct {
		size  int
		early bool
	}{
		"before its answer": {300 << 10, false}, "after its answer": {300 << 10, true},
		"in the kernel, before its answer": {60 << 10, false}, "in the kernel, after its answer": {60 << 10, true},
		"short, before its answer": {12_000, false}, "short, after its answer": {12_000, true},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			received := make(chan string, 1)
			buffer := 16 << 10
			if c.size < buffer {
				buffer = 4 << 10 // most of the request does not fit
			}
			pool := newBackendPoolOn(t, receiveBuffer(buffer), func(conn net.Conn, r *bufio.Reader, _ int) {
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
