package httplist

import (
	"testing"

	"github.com/matryer/is"
	"github.com/pkg/errors"

	"peridotmoor.org/peridotmoor/internal/dev/rawserver"
)

// Guards against a list that is believed although the head of its response has a malformed line.
func TestMalformedHeaderLineIsNoList(t *testing.T) {
	for name, line := range rawserver.MalformedLines {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			for _, sent := range rawserver.WithLine("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n[]", line) {
				server := rawserver.Start(t, rawserver.FloodLimit, rawserver.Response{Start: sent})
				lister, err := New("http://" + server.Address())
				is.NoErr(err)
				if _, err := lister.List(t.Context()); !errors.Is(err, ErrUnavailable) {
					t.Errorf("%q is taken for a response, error %v", sent, err)
				}
				lister.Close()
			}
		})
	}
}
