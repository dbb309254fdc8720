package httpstore

import (
	"context"
	"testing"

	"github.com/matryer/is"
	"github.com/pkg/errors"

	"peridotmoor.org/peridotmoor/internal/dev/rawserver"
	"peridotmoor.org/peridotmoor/internal/store"
)

// Guards against a read that is believed, and a write that counts as done or as refused,
// because of a response whose head has a malformed line.
func TestMalformedHeaderLineIsNoResponse(t *testing.T) {
	read := func(ctx context.Context, s *Store) error {
		_, err := s.Get(ctx, "k")
		return err
	}
	write := func(ctx context.Context, s *Store) error {
		_, err := s.CompareAndSwap(ctx, "k", 1, []byte("v"), "")
		return err
	}
	for name, c := range map[string]struct {
		status string
		call   func(context.Context, *Store) error
		want   error
	}{
		"entry":           {"200 OK", read, store.ErrUnavailable},
		"no entry":        {"404 Not Found", read, store.ErrUnavailable},
		"write":           {"200 OK", write, store.ErrUncertain},
		"write, conflict": {"409 Conflict", write, store.ErrUncertain},
		"write, refused":  {"503 Service Unavailable", write, store.ErrUncertain},
	} {
		for fault, line := range rawserver.MalformedLines {
			t.Run(name+", "+fault, func(t *testing.T) {
				is := is.New(t)
				for _, sent := range rawserver.WithLine("HTTP/1.1 "+c.status+"\r\n"+HeaderRevision+": 2\r\nContent-Length: 1\r\n\r\nv", line) {
					server := rawserver.Start(t, rawserver.FloodLimit, rawserver.Response{Start: sent})
					s, err := New("http://"+server.Address(), 1)
					is.NoErr(err)
					if err := c.call(t.Context(), s); !errors.Is(err, c.want) {
						t.Errorf("%q is taken for a response, error %v", sent, err)
					}
					s.Close()
				}
			})
		}
	}
}
