package calls

import (
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
)

const sample = `{"event":1712,"name":"holder_followed","msg":"This instance follows a holder.","at":"2026-04-23T07:39:18Z","instance":"a","holder":"b/X"}
{"event":1713,"name":"holder_lost","msg":"This instance has lost its link to the holder.","at":"2026-04-23T07:39:19Z","instance":"a","holder":"b/X","detail":"no heartbeat"}
{"event":1712,"name":"holder_followed","msg":"This instance follows a holder.","at":"2026-04-23T07:39:30Z","instance":"a","holder":"c/Y"}
{"event":1713,"name":"holder_lost","msg":"This instance has lost its link to the holder.","at":"2026-04-23T07:39:19Z","instance":"other","holder":"b/X"}
{"event":1721,"name":"attempt_ended","at":"2026-04-23T07:39:19.5Z","instance":"a","request":"r1","server":"s1","outcome":"lost","detail":"EOF"}
{"event":1720,"name":"call_ended","at":"2026-04-23T07:39:20Z","instance":"a","request":"r1","service":"plots","key":7,"outcome":"unknown","server":"s1","sends":1,"ms":70,"settings_version":6,"detail":"lost: EOF; then no-holder"}
{"event":1720,"name":"call_ended","at":"2026-04-23T07:39:21Z","instance":"a","request":"r2","service":"plots","outcome":"answered","server":"s2","sends":1,"ms":50,"detail":""}
{"event":1720,"name":"call_ended","at":"2026-04-23T07:39:21Z","instance":"a","request":"r3","service":"plots","outcome":"not-run","ms":1,"retry_after_ms":250,"detail":"overload"}
{"event":1721,"name":"attempt_ended","at":"2026-04-23T07:39:22Z","instance":"a","request":"r4","server":"s1","outcome":"shed","detail":"status 503"}
{"event":1000,"name":"events_dropped","at":"2026-04-23T07:39:22Z","instance":"a","count":12}
not a line
`

func read(t *testing.T) *Log {
	t.Helper()
	l := NewLog()
	if err := l.Read(strings.NewReader(sample)); err != nil {
		t.Fatal(err)
	}
	return l
}

// Guards against statements that no line supports, and against events of another instance
// or after the end of the call.
func TestCallIsReadFromItsLines(t *testing.T) {
	is := is.New(t)
	l := read(t)
	c, ok := l.Call("r1")
	is.True(ok)
	is.Equal(c.Outcome, "unknown")
	is.Equal(c.Duration, 70*time.Millisecond)
	is.Equal(len(c.Attempts), 1)
	is.Equal(len(c.PrecedingEvents), 2)
	is.Equal(c.PrecedingEvents[1].Detail, "b/X no heartbeat")
	c, ok = l.Call("r4")
	is.True(ok)
	is.Equal(c.Outcome, "") // its end is not recorded
	_, ok = l.Call("r5")
	is.True(!ok)
}

// Guards against counts that do not show that lines are missing.
func TestCounts(t *testing.T) {
	is := is.New(t)
	l := read(t)
	is.Equal(l.DroppedLines, int64(12))
	is.Equal(l.UnreadableLines, 1)
	is.Equal(l.Counts(), []Count{
		{"", "", "", 1},
		{"plots", "answered", "", 1},
		{"plots", "not-run", "overload", 1},
		{"plots", "unknown", "lost", 1},
	})
}
