package outcome

import (
	"testing"

	"github.com/matryer/is"
)

// Guards against a "not run" claim at a stage where the backend server may have
// run the request, and against a retry that could run it twice.
func TestConclude(t *testing.T) {
	cases := []struct {
		name       string
		stage      Stage
		idempotent bool
		want       Verdict
	}{
		{"unreadable at the entry", StageEntry, true, Verdict{NotRun, false}},
		{"no byte to the holder", StageForwardUnsent, false, Verdict{NotRun, true}},
		{"holder lost after the send", StageForwardSent, false, Verdict{Unknown, true}},
		{"shed in the queue", StageQueued, false, Verdict{NotRun, false}},
		{"server refuses the connection", StageConnect, false, Verdict{NotRun, true}},
		{"server refuses the request", StageRefusedByServer, false, Verdict{NotRun, true}},
		{"written, not idempotent", StageWritten, false, Verdict{Unknown, false}},
		{"written, idempotent", StageWritten, true, Verdict{Unknown, true}},
		{"whole answer", StageComplete, false, Verdict{Answered, false}},
		{"outside the table", Stage(99), true, Verdict{Unknown, false}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			is.Equal(Conclude(c.stage, c.idempotent), c.want)
		})
	}
}
