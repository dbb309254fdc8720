package outcome

import (
	"testing"

	"github.com/matryer/is"
)

// Guards against the outcome "not run" at a stage where the backend server may have
// run the request, and against a retry that could run it twice.
func TestClassify(t *testing.T) {
	cases := []struct {
		name       string
		stage      Stage
		idempotent bool
		want       Classification
	}{
		{"malformed at the entry instance", StageEntry, true, Classification{NotRun, false}},
		{"no byte sent to the holder", StageForwardUnsent, false, Classification{NotRun, true}},
		{"holder lost after the send", StageForwardSent, false, Classification{Unknown, true}},
		{"shed in the queue", StageQueued, false, Classification{NotRun, false}},
		{"server refuses the connection", StageConnect, false, Classification{NotRun, true}},
		{"server refuses the request", StageRefusedByServer, false, Classification{NotRun, true}},
		{"written, not idempotent", StageWritten, false, Classification{Unknown, false}},
		{"written, idempotent", StageWritten, true, Classification{Unknown, true}},
		{"complete response", StageComplete, false, Classification{Answered, false}},
		{"undefined stage", Stage(99), true, Classification{Unknown, false}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			is.Equal(Classify(c.stage, c.idempotent), c.want)
		})
	}
}
