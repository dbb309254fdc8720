package command

import (
	"strings"
	"testing"

	"github.com/matryer/is"
)

// Guards against an account of a key that names two owners where the logs don't tell, or none
// where they do.
func TestOwnersOfAKey(t *testing.T) {
	is := is.New(t)
	const first = `{"event":1742,"name":"keys_granted","at":"2026-12-05T20:10:00.05Z","instance":"entry-1","epoch":1,"grants":[{"service":"plots","from":0,"to":9,"server":"a","start_ms":1,"fence":1,"sent_at":"2026-12-05T20:10:00Z","outcome":"done"}]}
`
	const end = `{"event":1743,"name":"key_grants_ended","at":"2026-12-05T20:10:05Z","instance":"entry-1","epoch":1,"grants":[{"service":"plots","from":0,"to":9,"server":"a","start_ms":1,"fence":1,"sent_at":"2026-12-05T20:10:00Z","valid_until":"2026-12-05T20:10:11Z","reason":"tenure-ended","ended_at":"2026-12-05T20:10:05Z"}]}
`
	const second = `{"event":1742,"name":"keys_granted","at":"2026-12-05T20:10:07.05Z","instance":"entry-2","epoch":2,"grants":[{"service":"plots","from":0,"to":9,"server":"b","start_ms":1,"fence":11,"sent_at":"2026-12-05T20:10:07Z","outcome":"silent"}]}
`
	report := func(lines string) string { return runMain([]string{"owners", "plots:4"}, nil, lines) }
	is.True(strings.Contains(report(first), "no two servers had a grant at the same time"))
	is.True(strings.Contains(report(first+second), "NOT KNOWN whether there were two owners from 2026-12-05 20:10:07.000 UTC on"))
	is.True(strings.Contains(report(first+end+second), "TWO OWNERS from 2026-12-05 20:10:07.000 UTC to 2026-12-05 20:10:11.000 UTC: a/1 under fence 1 by entry-1, and b/1 under fence 11 by entry-2"))
	is.True(strings.Contains(runMain([]string{"owners", "plots:8"}, nil, ""), "No line grants this key."))
	for _, wrong := range []string{"plots", ":4", "plots:x", "plots:-1", "plots:65536"} {
		is.True(strings.Contains(runMain([]string{"owners", wrong}, nil, ""), "write SERVICE:KEY"))
	}
}
