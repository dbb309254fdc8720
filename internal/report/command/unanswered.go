package command

import (
	"fmt"
	"io"

	"peridotmoor.org/peridotmoor/internal/report"
)

func runUnanswered(t *tool) error {
	journal, window, err := t.journalAndWindow()
	if err != nil {
		return err
	}
	u := report.FindUnanswered(journal, window)
	return t.print(u, func(w io.Writer) { writeUnanswered(w, u) })
}

func writeUnanswered(w io.Writer, u report.Unanswered) {
	fmt.Fprintf(w, "%d requests may have run without their caller getting the answer\n", len(u.Requests))
	for _, r := range u.Requests {
		fmt.Fprintf(w, "\n%s  %s\n", r.Arrived.UTC().Format(timeLayout), r.ID)
		fmt.Fprintf(w, "  service %s, key %s, %s; %s\n", r.Service, r.Key, idempotence(r.IdempotenceKnown, r.Idempotent), r.Ran)
		fmt.Fprintf(w, "  %s\n", r.Proof)
	}
	writeList(w, "\nRecords known to be missing; more requests may be concerned", u.Missing)
}
