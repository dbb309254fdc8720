package calls

import (
	"strings"
	"testing"

	"github.com/matryer/is"
)

// Guards against a call whose preceding events lack the end of a tenure or its reason, or an
// event of the holder's lease.
func TestEventsOfATenureAreShownWithTheirReason(t *testing.T) {
	is := is.New(t)
	l := NewLog()
	is.NoErr(l.Read(strings.NewReader(`{"event":1714,"name":"lease_lost","at":"2026-12-05T20:10:02Z","instance":"a","detail":"store: the answer was lost"}
{"event":1711,"name":"holder_ended","at":"2026-12-05T20:10:02.1Z","instance":"a","reason":"store-outage"}
{"event":1741,"name":"lease_unreleased","at":"2026-12-05T20:10:03Z","instance":"a","detail":"store: not available"}
{"event":1720,"name":"call_ended","at":"2026-12-05T20:10:04Z","instance":"a","request":"r1","outcome":"unknown"}
`)))
	c, ok := l.Call("r1")
	is.True(ok)
	var shown []string
	for _, e := range c.PrecedingEvents {
		shown = append(shown, e.Name+": "+e.Detail)
	}
	is.Equal(shown, []string{"lease_lost: store: the answer was lost", "holder_ended: store-outage", "lease_unreleased: store: not available"})
}
