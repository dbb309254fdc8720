package peer

import (
	"net/textproto"
	"testing"
	"time"

	"github.com/matryer/is"

	"peridotmoor.org/peridotmoor/internal/key"
	"peridotmoor.org/peridotmoor/internal/request"
)

// Guards against a field of a request that is lost on the way to the holder, such as the
// team, without which the server is not told who sends it.
func TestRequestRoundTrip(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	sent := &request.Request{
		ID: "1", Service: "s", Key: "k", KeyHash: key.HashOf("k"), Method: "POST", Path: "/x", Header: textproto.MIMEHeader{"A": {"1", "2"}}, Idempotent: true,
		Deadline: now.Add(3 * time.Second), ContentLength: 4, Digest: 5, Team: "t1", Entry: "i", Attempt: 6, TraceParent: "p",
	}
	is.Equal(requestFromWire(requestToWire(sent, now), now), sent)
}
