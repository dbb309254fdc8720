package httpbackend

import (
	"net/textproto"
	"testing"
	"time"

	"github.com/matryer/is"

	"peridotmoor.org/peridotmoor/internal/backend"
	"peridotmoor.org/peridotmoor/internal/request"
)

// Guards against a server that is not told the team, or is told one that the caller names.
func TestServerIsToldTheTeam(t *testing.T) {
	for team, want := range map[string][]string{"t1": {"t1"}, "": nil} {
		is := is.New(t)
		r := &request.Request{Team: team, Header: textproto.MIMEHeader{backend.HeaderTeam: {"forged"}}}
		is.Equal(requestHeader(r, backend.Order{}, time.Second)[backend.HeaderTeam], want)
	}
}
