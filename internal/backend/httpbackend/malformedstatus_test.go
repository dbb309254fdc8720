package httpbackend_test

import (
	"testing"

	"github.com/matryer/is"

	"peridotmoor.org/peridotmoor/internal/backend"
	"peridotmoor.org/peridotmoor/internal/outcome"
	"peridotmoor.org/peridotmoor/internal/problem"
)

// Guards against a status line that no final response has and that is passed on, or taken for
// a refusal before the request ran.
func TestMalformedStatusIsNoAnswer(t *testing.T) {
	for _, status := range []string{"000 OK", "099 OK", "101 Switching Protocols", "600 OK", "999 OK", "1000 OK", "20x OK", "+20 OK", "2", ""} {
		for _, header := range []string{"", backend.HeaderNotRun + ": true\r\n"} {
			t.Run(status+", "+header, func(t *testing.T) {
				is := is.New(t)
				client := startSequence(t, "HTTP/1.1 "+status+"\r\n"+thisRequest+"\r\n"+header+"Content-Length: 2\r\n\r\nok")
				err := send(t, client, newRequest("POST", "one", nil))
				is.True(err != nil)
				is.Equal(problem.From(err).Kind, problem.KindAnswerLost)
				is.Equal(problem.From(err).Outcome, outcome.Unknown)
			})
		}
	}
}
