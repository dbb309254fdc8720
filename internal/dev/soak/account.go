package soak

import (
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"time"

	"github.com/pkg/errors"

	"peridotmoor.org/peridotmoor/internal/dev/soak/check"
)

// accountFile is the name of the file that explains the failure of a seed.
const accountFile = "account.txt"

// note adds a line to the account of the play.
func (p *play) note(format string, args ...any) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.notes = append(p.notes, fmt.Sprintf("%7.3fs %s", time.Since(p.startAt).Seconds(), fmt.Sprintf(format, args...)))
}

// writeAccount writes the events, the violations and all that was seen of the requests
// concerned to the account file.
func (p *play) writeAccount(s schedule, e *check.Evidence, violations []check.Violation) error {
	var text strings.Builder
	fmt.Fprintf(&text, "seed %d, theme %s, times since %s\n\n", p.seed, s.theme, p.startAt.UTC().Format(time.RFC3339Nano))
	p.mu.Lock()
	fmt.Fprintln(&text, strings.Join(p.notes, "\n"))
	p.mu.Unlock()
	for _, process := range e.Processes {
		fmt.Fprintf(&text, "%s process %d: started %s, stopped %s, killed %s, ended %s %s\n", process.Instance, process.Number,
			p.since(process.StartedAt), p.since(process.StoppedAt), p.since(process.KilledAt), p.since(process.EndedAt), process.Failure)
	}
	for _, v := range violations {
		fmt.Fprintf(&text, "\n%s: %s\n", v.Check, v.Message)
		for _, id := range v.RequestIDs {
			p.writeRequest(&text, e, id)
		}
	}
	return errors.Wrap(os.WriteFile(filepath.Join(p.dir, accountFile), []byte(text.String()), 0o644), "account")
}

func (p *play) writeRequest(text *strings.Builder, e *check.Evidence, id string) {
	for _, a := range e.Attempts {
		if a.ID == id {
			fmt.Fprintf(text, "  caller: %s\n", a.String(p.startAt))
		}
	}
	for _, run := range e.Runs {
		if run.RequestID == id {
			fmt.Fprintf(text, "  server: %s ran %s from %s to %s, answered %t, cancelled %t\n", run.Server, id, p.since(run.Start), p.since(run.End), run.Answered, run.Cancelled)
		}
	}
}

// since formats a time relative to the start of the load, or "-".
func (p *play) since(at time.Time) string {
	if at.IsZero() {
		return "-"
	}
	return fmt.Sprintf("%.3f", at.Sub(p.startAt).Seconds())
}
