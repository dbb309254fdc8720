package events

import (
	"bytes"
	"regexp"
	"strconv"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
)

// Guards against a log that grows with the load without bound, against one event
// that crowds out another, and against lines that are left out without a count.
func TestRateLimitedLoggerCountsDroppedLines(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		var out bytes.Buffer
		l := NewRateLimitedLogger(&out, 5)
		for range 20 {
			l.Emit(CallEnded, "request", "r")
		}
		l.Emit(HolderLost)
		time.Sleep(time.Second)
		for range 3 {
			l.Emit(CallEnded, "request", "r")
		}
		l.Close()
		is.Equal(strings.Count(out.String(), `"name":"call_ended"`), 8)
		is.Equal(strings.Count(out.String(), `"name":"holder_lost"`), 1)
		dropped := 0
		for _, found := range regexp.MustCompile(`"count":(\d+)`).FindAllStringSubmatch(out.String(), -1) {
			n, err := strconv.Atoi(found[1])
			is.NoErr(err)
			dropped += n
		}
		is.Equal(dropped, 15) // told in one line or in several, as the writer got to run
	})
}
