package command

import (
	"fmt"
	"io"

	"github.com/pkg/errors"

	"peridotmoor.org/peridotmoor/internal/report"
)

func runDomain(t *tool) error {
	if t.options.Positional == "" {
		return usageError{errors.New("name a failure domain")}
	}
	journal, err := t.journal()
	if err != nil {
		return err
	}
	d := report.ExplainDomain(journal, t.options.Positional)
	return t.print(d, func(w io.Writer) { writeDomain(w, d) })
}

func writeDomain(w io.Writer, d report.DomainHistory) {
	fmt.Fprintf(w, "Failure domain %s\n", d.Name)
	if len(d.Changes) == 0 {
		fmt.Fprintln(w, "  no record tells that a server of it was taken out or brought back")
	}
	for n := range d.Changes {
		writeChange(w, &d.Changes[n])
	}
	writeList(w, "\nRecords known to be missing; more may have happened", d.Missing)
}

func writeChange(w io.Writer, c *report.DomainChange) {
	what := "Brought back"
	if c.OutOfService {
		what = "Taken out"
	}
	fmt.Fprintf(w, "\n%s %s", what, c.Begin.UTC().Format(timeLayout))
	if c.Version > 0 {
		fmt.Fprintf(w, " with settings version %d", c.Version)
	}
	fmt.Fprintln(w)
	lines := &changeLines{}
	lines.addSettings(c)
	lines.addServers(c)
	lines.addDispatches(c)
	for _, line := range lines.sorted() {
		fmt.Fprintf(w, "  %s  %s\n", offset(line.at.Sub(c.Begin)), line.text)
	}
	for _, text := range lines.untimed {
		fmt.Fprintf(w, "  %13s  %s\n", "-", text)
	}
}
