package holder

import (
	"bytes"
	"encoding/json"
	"sync"
	"testing"

	"peridotmoor.org/peridotmoor/internal/events"
)

// logBuffer keeps log lines. Each Write is one line.
type logBuffer struct {
	mu    sync.Mutex
	lines [][]byte
}

// Write implements io.Writer.
func (b *logBuffer) Write(line []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.lines = append(b.lines, bytes.Clone(line))
	return len(line), nil
}

// of returns the fields of the lines of an event. The logger must be closed, or idle.
func (b *logBuffer) of(t *testing.T, e events.Event) []map[string]any {
	t.Helper()
	b.mu.Lock()
	defer b.mu.Unlock()
	var found []map[string]any
	for _, line := range b.lines {
		var fields map[string]any
		if err := json.Unmarshal(line, &fields); err != nil {
			t.Fatalf("%v: %s", err, line)
		}
		if fields["event"] == float64(e.Number) {
			found = append(found, fields)
		}
	}
	return found
}
