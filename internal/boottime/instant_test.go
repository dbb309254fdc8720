package boottime

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// Guards against a limit that never passes, or that passes although none was set.
func TestInstantPasses(t *testing.T) {
	is := is.New(t)
	is.True(Now() > 0)
	is.True(Now().Passed())
	is.True(!Now().Add(time.Hour).Passed())
	is.True(Now().Add(-time.Nanosecond).Passed())
	var none Instant
	is.True(!none.Passed())
	is.Equal(none.Add(-time.Hour), none)
}
