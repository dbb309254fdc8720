package command

import (
	"fmt"
	"io"
	"time"

	"github.com/pkg/errors"

	"peridotmoor.org/peridotmoor/internal/report"
)

func runDomain(t *tool) error {
	if t.options.First == "" {
		return usageError{errors.New("name a failure domain")}
	}
	journal, err := t.journal()
	if err != nil {
		return err
	}
	d := report.ExplainDomain(journal, t.options.First)
	return t.print(d, func(w io.Writer) { writeDomain(w, d) })
}

func writeDomain(w io.Writer, d report.Domain) {
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
	if c.Out {
		what = "Taken out"
	}
	fmt.Fprintf(w, "\n%s %s", what, c.Begin.UTC().Format(timeLayout))
	if c.Version > 0 {
		fmt.Fprintf(w, " with settings version %d", c.Version)
	}
	fmt.Fprintln(w)
	line := func(at time.Time, format string, values ...any) {
		fmt.Fprintf(w, "  %s  %s\n", offset(at.Sub(c.Begin)), fmt.Sprintf(format, values...))
	}
	for _, e := range c.InEffect {
		line(e.At, "in effect at %s", e.Instance)
	}
	for _, name := range c.Without {
		fmt.Fprintf(w, "  %13s  no record that it was in effect at %s\n", "-", name)
	}
	writeServers(c, line)
	if c.Ranges > 0 {
		line(c.FirstMove, "first range moved")
		line(c.LastMove, "last of %d ranges moved", c.Ranges)
	}
	writeWork(w, c, line)
}

// writeServers says when the holders acted.
func writeServers(c *report.DomainChange, line func(time.Time, string, ...any)) {
	first, last := c.Servers[0], c.Servers[len(c.Servers)-1]
	verb := "brought back"
	if c.Out {
		verb = "taken out"
	}
	line(first.At, "holder %s: first server %s (%s)", first.Holder, verb, first.Server)
	line(last.At, "holder %s: last of %d servers %s (%s)", last.Holder, len(c.Servers), verb, last.Server)
}

// writeWork says what work the servers still got, or got again.
func writeWork(w io.Writer, c *report.DomainChange, line func(time.Time, string, ...any)) {
	for _, s := range c.Servers {
		switch {
		case c.Out && s.Last != nil:
			line(s.Last.At, "server %s: last of %d new requests (%s)", s.Server, s.Work, s.Last.RequestID)
		case !c.Out && s.First != nil:
			line(s.First.At, "server %s: first of %d requests (%s)%s", s.Server, s.Work, s.First.RequestID, coldness(s))
		case !c.Out:
			fmt.Fprintf(w, "  %13s  server %s: no work recorded%s\n", "-", s.Server, coldness(s))
		}
	}
	if c.Out && c.Work == 0 {
		fmt.Fprintf(w, "  %13s  no new work on its servers is recorded from then on\n", "-")
	}
}

func coldness(s report.ServerChange) string {
	if s.Cold == "" {
		return ""
	}
	return ", cold: " + s.Cold
}
