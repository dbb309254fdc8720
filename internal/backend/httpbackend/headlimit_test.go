package httpbackend_test

import (
	"strings"
	"testing"

	"github.com/matryer/is"

	"peridotmoor.org/peridotmoor/internal/backend"
	"peridotmoor.org/peridotmoor/internal/dev/rawserver"
	"peridotmoor.org/peridotmoor/internal/outcome"
	"peridotmoor.org/peridotmoor/internal/problem"
)

// Guards against heads of responses that fill the memory, and against a limit that
// refuses heads that servers may send.
func TestResponseHeadIsLimited(t *testing.T) {
	for _, c := range []struct {
		name      string
		headBytes int
		ok        bool
	}{
		{"128 KB", 128 << 10, true},
		{"1 MB", 1 << 20, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			head := "HTTP/1.1 200 OK\r\n" + backend.HeaderRequestID + ": one\r\nX-A: " + strings.Repeat("a", c.headBytes) + "\r\n"
			_, client := startEndless(t, rawserver.FloodLimit, rawserver.Response{Start: head + "Content-Length: 0\r\n\r\n"}, "")
			err := send(t, client, newRequest("GET", "one", nil))
			is.Equal(err == nil, c.ok)
			if !c.ok {
				is.Equal(problem.From(err).Kind, problem.KindAnswerLost)
				is.Equal(problem.From(err).Outcome, outcome.Unknown)
			}
		})
	}
}
