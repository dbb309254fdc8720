package facts

import (
	"bytes"
	"strings"
	"testing"

	"github.com/matryer/is"

	"peridotmoor.org/peridotmoor/internal/events"
	"peridotmoor.org/peridotmoor/internal/fleet"
)

// Guards against a log line for each reading of an entry that another program spoiled, and
// against silence about an entry that is spoiled once more.
func TestUnreadableEntryIsLoggedOnce(t *testing.T) {
	is := is.New(t)
	var out bytes.Buffer
	log := events.NewLogger(&out)
	r := NewReader(nil, NewRegistry(decodeVersion, nil), log)
	for _, reasons := range [][]string{{"one"}, {"one", "two"}, {"changed", "two"}, {"two"}, {"again", "two"}} {
		var entries []fleet.UnreadableEntry
		for _, reason := range reasons {
			key := "servers/a"
			if reason == "two" {
				key = "servers/b"
			}
			entries = append(entries, fleet.UnreadableEntry{Key: key, Reason: reason})
		}
		r.logUnreadable(entries)
	}
	log.Close()
	is.Equal(strings.Count(out.String(), `"entry":"servers/a"`), 2) // at first, and after a reading that could decode it
	is.Equal(strings.Count(out.String(), `"entry":"servers/b"`), 1)
	is.True(strings.Contains(out.String(), "again"))
	is.Equal(len(r.unreadable), 2)
}
