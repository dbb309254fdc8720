package storetest

import (
	"strconv"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/pkg/errors"

	"peridotmoor.org/peridotmoor/internal/dev/rawserver"
	"peridotmoor.org/peridotmoor/internal/store"
)

// RunMalformedStatus guards against a write that counts as not done because of a status that no
// response has: the store may have done it. client returns a client over HTTP of the store at
// address (host:port), and body is that of a response.
func RunMalformedStatus(t *testing.T, body string, client func(t *testing.T, address string) store.Store) {
	for _, status := range []string{"000 OK", "099 OK", "101 Switching Protocols", "600 OK", "999 OK"} {
		t.Run(status, func(t *testing.T) {
			is := is.New(t)
			server := rawserver.Start(t, rawserver.FloodLimit, rawserver.Response{Start: "HTTP/1.1 " + status + "\r\nContent-Length: " + strconv.Itoa(len(body)) + "\r\n\r\n" + body})
			s := client(t, server.Address())
			_, err := s.CompareAndSwap(t.Context(), "k", 0, []byte("v"), "")
			is.True(errors.Is(err, store.ErrUncertain))
			_, err = s.Grant(t.Context(), time.Second)
			is.True(errors.Is(err, store.ErrUncertain))
			_, err = s.Get(t.Context(), "k")
			is.True(errors.Is(err, store.ErrUnavailable))
		})
	}
}
