package hop

import (
	"net/http"
	"testing"

	"github.com/matryer/is"
)

// Guards against hop-by-hop headers that are forwarded, in particular those that only
// the message's Connection header lists.
func TestHopByHopHeadersAreRemoved(t *testing.T) {
	is := is.New(t)
	header := http.Header{
		"Connection": {"close, x-trace", "Other"}, "X-Trace": {"1"}, "Other": {"2"}, "Te": {"trailers"},
		"Content-Length": {"3"}, "Accept": {"a", "b"}, "X-Own": {"4"},
	}
	is.Equal(Filter(header, nil), http.Header{"Accept": {"a", "b"}, "X-Own": {"4"}})
	is.Equal(Filter(header, func(name string) bool { return name != "X-Own" }), http.Header{"Accept": {"a", "b"}})
}
