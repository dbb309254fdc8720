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

// Guards against a log whose volume grows with the load without limit, against a
// frequent event that uses up the limit of another one, and against lines that are
// dropped without being counted.
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
		is.Equal(dropped, 15) // reported in one line or several, depending on when the writer runs
	})
}
