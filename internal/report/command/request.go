package command

import (
	"fmt"
	"io"
	"strings"
	"time"

	"github.com/pkg/errors"

	"peridotmoor.org/peridotmoor/internal/report"
)

// timeLayout is the format of printed times: UTC with milliseconds.
const timeLayout = "2006-01-02 15:04:05.000 MST"

func runRequest(t *tool) error {
	if t.options.Positional == "" {
		return usageError{errors.New("name the ID of a request")}
	}
	journal, err := t.journal()
	if err != nil {
		return err
	}
	explanation := report.Explain(journal, t.options.Positional)
	if err := t.print(explanation, func(w io.Writer) { writeExplanation(w, explanation) }); err != nil {
		return err
	}
	if len(explanation.Steps) == 0 {
		return errors.Errorf("no record mentions request %s; check the ID and give the files of all instances", explanation.ID)
	}
	return nil
}

func writeExplanation(w io.Writer, e report.Explanation) {
	fmt.Fprintf(w, "Request %s\n", e.ID)
	if len(e.Steps) > 0 {
		fmt.Fprintf(w, "  service %s, key %s, %s\n", e.Service, e.Key, idempotence(e.IdempotenceKnown, e.Idempotent))
		fmt.Fprintf(w, "  arrived %s", e.Start.UTC().Format(timeLayout))
		if e.Duration > 0 {
			fmt.Fprintf(w, ", concluded after %s", report.FormatMillis(e.Duration))
		}
		fmt.Fprintln(w)
	}
	fmt.Fprintf(w, "Outcome: %s\n", e.Proof)
	writeList(w, "CONTRADICTION in the records", e.Contradictions)
	if len(e.Steps) > 0 {
		fmt.Fprintln(w, "What happened:")
	}
	for _, step := range e.Steps {
		fmt.Fprintf(w, "  %s  %s%s\n", offset(step.Offset), step.Text, repeatSuffix(step))
	}
	writeList(w, "Missing records", e.Missing)
}

func idempotence(known, idempotent bool) string {
	switch {
	case !known:
		return "not recorded whether idempotent"
	case idempotent:
		return "idempotent"
	default:
		return "not idempotent: it must run at most once"
	}
}

func repeatSuffix(step report.Step) string {
	if step.Repeats == 0 {
		return ""
	}
	return fmt.Sprintf(" (and %d times more until %s)", step.Repeats, strings.TrimSpace(offset(step.Until)))
}

// offset formats the time since the start of a request.
func offset(d time.Duration) string {
	return fmt.Sprintf("%+10.1f ms", float64(d)/float64(time.Millisecond))
}

// writeList prints a list with a heading, and nothing if the list is empty.
func writeList(w io.Writer, heading string, lines []string) {
	if len(lines) == 0 {
		return
	}
	fmt.Fprintf(w, "%s:\n", heading)
	for _, line := range lines {
		fmt.Fprintf(w, "  - %s\n", line)
	}
}
