package command

import (
	"fmt"
	"io"
	"strings"
	"time"

	"github.com/pkg/errors"

	"peridotmoor.org/peridotmoor/internal/report"
)

// timeLayout is how times are printed, in UTC with milliseconds.
const timeLayout = "2006-01-02 15:04:05.000 MST"

func runRequest(t *tool) error {
	if t.options.First == "" {
		return usageError{errors.New("name the ID of a request")}
	}
	journal, err := t.journal()
	if err != nil {
		return err
	}
	story := report.Explain(journal, t.options.First)
	if err := t.print(story, func(w io.Writer) { writeStory(w, story) }); err != nil {
		return err
	}
	if len(story.Steps) == 0 {
		return errors.Errorf("no record mentions request %s; check the ID and give the files of all instances", story.ID)
	}
	return nil
}

func writeStory(w io.Writer, s report.Explanation) {
	fmt.Fprintf(w, "Request %s\n", s.ID)
	if len(s.Steps) > 0 {
		fmt.Fprintf(w, "  service %s, key %s, %s\n", s.Service, s.Key, idempotence(s.IdempotenceKnown, s.Idempotent))
		fmt.Fprintf(w, "  arrived %s", s.Start.UTC().Format(timeLayout))
		if s.Duration > 0 {
			fmt.Fprintf(w, ", concluded after %s", report.FormatMillis(s.Duration))
		}
		fmt.Fprintln(w)
	}
	fmt.Fprintf(w, "Outcome: %s\n", s.Proof)
	writeList(w, "CONTRADICTION in the records", s.Contradictions)
	if len(s.Steps) > 0 {
		fmt.Fprintln(w, "What happened:")
	}
	for _, step := range s.Steps {
		fmt.Fprintf(w, "  %s  %s%s\n", offset(step.Offset), step.Text, repeats(step))
	}
	writeList(w, "Missing records", s.Missing)
}

func idempotence(marked, idempotent bool) string {
	switch {
	case !marked:
		return "not recorded whether idempotent"
	case idempotent:
		return "idempotent"
	default:
		return "not idempotent: it must run at most once"
	}
}

func repeats(step report.Step) string {
	if step.Repeats == 0 {
		return ""
	}
	return fmt.Sprintf(" (and %d times more until %s)", step.Repeats, strings.TrimSpace(offset(step.Until)))
}

// offset formats the time since the start of a request.
func offset(d time.Duration) string {
	return fmt.Sprintf("%+10.1f ms", float64(d)/float64(time.Millisecond))
}

// writeList prints a headed list, and nothing when it is empty.
func writeList(w io.Writer, head string, lines []string) {
	if len(lines) == 0 {
		return
	}
	fmt.Fprintf(w, "%s:\n", head)
	for _, line := range lines {
		fmt.Fprintf(w, "  - %s\n", line)
	}
}
