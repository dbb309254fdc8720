package httpstore

import (
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/pkg/errors"

	"peridotmoor.org/peridotmoor/internal/dev/rawserver"
	"peridotmoor.org/peridotmoor/internal/store"
)

// Guards against a write that counts as not done because of a status that no response has: the
// store may have done it.
func TestMalformedStatusOfTheStoreProvesNothing(t *testing.T) {
	for _, status := range []string{"000 OK", "099 OK", "101 Switching Protocols", "600 OK", "999 OK"} {
		t.Run(status, func(t *testing.T) {
			is := is.New(t)
			server := rawserver.Start(t, rawserver.FloodLimit, rawserver.Response{Start: "HTTP/1.1 " + status + "\r\nContent-Length: 2\r\n\r\nok"})
			client, err := New("http://"+server.Address(), 1)
			is.NoErr(err)
			_, err = client.CompareAndSwap(t.Context(), "k", 0, []byte("v"), "")
			is.True(errors.Is(err, store.ErrUncertain))
			_, err = client.Grant(t.Context(), time.Second)
			is.True(errors.Is(err, store.ErrUncertain))
			_, err = client.Get(t.Context(), "k")
			is.True(errors.Is(err, store.ErrUnavailable))
		})
	}
}
