package report

import (
	"fmt"
	"time"
)

// maxClockSkew is how far the clocks of two processes may differ when a missing record is
// attributed to a gap; it equals max_clock_skew of the settings.
const maxClockSkew = 2 * time.Second

// Gap is a period from which records of an instance are missing.
type Gap struct {
	Instance string `json:"instance"`
	// From is zero when the gap lies before the first record.
	From time.Time `json:"from"`
	// Until is zero when the gap is open-ended: the instance wrote nothing after it.
	Until  time.Time `json:"until"`
	Reason GapReason `json:"why"`
	// Lines is the number of missing lines; 0 when it is not known.
	Lines int `json:"lines,omitempty"`
}

// Covers reports whether records written between from and until may be missing.
func (g Gap) Covers(from, until time.Time) bool {
	begins := g.From.IsZero() || until.After(g.From.Add(-maxClockSkew))
	ends := g.Until.IsZero() || from.Before(g.Until.Add(maxClockSkew))
	return begins && ends
}

// String describes what is missing.
func (g Gap) String() string {
	switch g.Reason {
	case GapNoRecords:
		return fmt.Sprintf("all that instance %s wrote: other instances mention it, but the input has no record of it", g.Instance)
	case GapNoStart:
		return fmt.Sprintf("what instance %s wrote before %s: its records do not begin with its start", g.Instance, formatTime(g.Until))
	case GapDropped:
		return fmt.Sprintf("%d lines that instance %s dropped until %s", g.Lines, g.Instance, formatTime(g.Until))
	default:
		text := fmt.Sprintf("what instance %s did after %s", g.Instance, formatTime(g.From))
		if !g.Until.IsZero() {
			text += " and before its start at " + formatTime(g.Until)
		}
		return text + ": it ended without a planned stop, or its records are cut off"
	}
}

// formatTime formats a time with milliseconds.
func formatTime(at time.Time) string {
	return at.UTC().Format("2006-01-02T15:04:05.000Z07:00")
}
