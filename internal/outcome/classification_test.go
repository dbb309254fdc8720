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
		want       Classification
	}{
		{"unreadable at the entry", StageEntry, true, Classification{NotRun, false}},
		{"no byte to the holder", StageForwardUnsent, false, Classification{NotRun, true}},
		{"holder lost after the send", StageForwardSent, false, Classification{Unknown, true}},
		{"shed in the queue", StageQueued, false, Classification{NotRun, false}},
		{"server refuses the connection", StageConnect, false, Classification{NotRun, true}},
		{"server refuses the request", StageRefusedByServer, false, Classification{NotRun, true}},
		{"written, not idempotent", StageWritten, false, Classification{Unknown, false}},
		{"written, idempotent", StageWritten, true, Classification{Unknown, true}},
		{"whole answer", StageComplete, false, Classification{Answered, false}},
		{"outside the table", Stage(99), true, Classification{Unknown, false}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			is.Equal(Classify(c.stage, c.idempotent), c.want)
		})
	}
}
