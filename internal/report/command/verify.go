package command

import (
	"fmt"
	"io"
	"os"

	"github.com/pkg/errors"

	"peridotmoor.org/peridotmoor/internal/report"
	"peridotmoor.org/peridotmoor/internal/report/decode"
)

func runVerify(t *tool) error {
	evidence, err := t.evidence()
	if err != nil {
		return err
	}
	journal, err := t.journal()
	if err != nil {
		return err
	}
	v := report.Verify(journal, evidence)
	if err := t.print(v, func(w io.Writer) { writeVerification(w, v) }); err != nil {
		return err
	}
	if !v.OK() {
		return errors.Errorf("%d violations, %d requests not accounted for, %d checks not possible",
			len(v.Violations), len(v.Unaccounted), len(v.Unchecked))
	}
	return nil
}

func (t *tool) evidence() (report.Evidence, error) {
	var e report.Evidence
	if t.options.RunLog == "" || t.options.Callers == "" {
		return e, usageError{errors.New("give --runlog FILE and --callers FILE")}
	}
	log, err := os.Open(t.options.RunLog)
	if err != nil {
		return e, errors.Wrap(err, "--runlog")
	}
	defer log.Close()
	if e.Executions, e.DroppedExecutions, err = decode.ReadRunLog(log); err != nil {
		return e, errors.Wrap(err, "--runlog")
	}
	callers, err := os.Open(t.options.Callers)
	if err != nil {
		return e, errors.Wrap(err, "--callers")
	}
	defer callers.Close()
	e.Requests, err = decode.ReadCallersLog(callers)
	return e, errors.Wrap(err, "--callers")
}

func writeVerification(w io.Writer, v report.Verification) {
	fmt.Fprintf(w, "Sent by callers: %d, of which in records: %d (%d in part), no record: %d, never sent: %d\n",
		v.Sent, v.InRecords, v.Partial, v.NoRecord, v.NeverSent)
	fmt.Fprintf(w, "Outcomes by the records: answered %d, not run %d, unknown %d\n", v.Answered, v.NotRun, v.Unknown)
	if v.NotOfCallers > 0 {
		fmt.Fprintf(w, "In records, but in no caller's list: %d\n", v.NotOfCallers)
	}
	writeList(w, "Records known to be missing", v.Losses)
	writeList(w, "Explained by these losses; nothing is claimed about them", missingRequestLines(v.KnownMissing))
	writeList(w, "NOT ACCOUNTED FOR", missingRequestLines(v.Unaccounted))
	writeList(w, "NOT CHECKED", v.Unchecked)
	writeList(w, "VIOLATIONS", violationLines(v.Violations))
	fmt.Fprintf(w, "verify: violations=%d not_accounted_for=%d known_missing=%d\n",
		len(v.Violations), len(v.Unaccounted), len(v.KnownMissing))
}

func missingRequestLines(missing []report.MissingRequest) []string {
	var lines []string
	for _, m := range missing {
		line := fmt.Sprintf("request %s: %s", m.RequestID, m.Description)
		if m.Instance != "" {
			line += ", lost at " + m.Instance
		}
		lines = append(lines, line)
	}
	return lines
}

func violationLines(violations []report.Violation) []string {
	var lines []string
	for _, v := range violations {
		lines = append(lines, fmt.Sprintf("request %s: %s", v.RequestID, v.Description))
	}
	return lines
}
