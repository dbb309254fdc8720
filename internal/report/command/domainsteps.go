package command

import (
	"fmt"
	"slices"
	"time"

	"peridotmoor.org/peridotmoor/internal/report"
)

// domainSteps collects the lines about one change of a failure domain.
type domainSteps struct {
	steps []domainStep
	// notes are the lines without a time.
	notes []string
}

func (d *domainSteps) add(at time.Time, format string, values ...any) {
	d.steps = append(d.steps, domainStep{at: at, text: fmt.Sprintf(format, values...)})
}

func (d *domainSteps) note(format string, values ...any) {
	d.notes = append(d.notes, fmt.Sprintf(format, values...))
}

// sorted returns the lines in the order of time.
func (d *domainSteps) sorted() []domainStep {
	slices.SortStableFunc(d.steps, func(a, b domainStep) int { return a.at.Compare(b.at) })
	return d.steps
}

// settings says when the version was in effect.
func (d *domainSteps) settings(c *report.DomainChange) {
	for _, e := range c.InEffect {
		d.add(e.At, "settings version %d in effect at %s", c.Version, e.Instance)
	}
	for _, name := range c.NoInstallRecord {
		d.note("no record that version %d was in effect at %s", c.Version, name)
	}
}

// servers says when the holders acted.
func (d *domainSteps) servers(c *report.DomainChange) {
	verb := "brought back"
	if c.OutOfService {
		verb = "taken out"
	}
	first, last := c.Servers[0], c.Servers[len(c.Servers)-1]
	d.add(first.At, "first of %d servers %s: %s by holder %s", len(c.Servers), verb, first.Server, first.Holder)
	if len(c.Servers) > 1 {
		d.add(last.At, "last of %d servers %s: %s by holder %s", len(c.Servers), verb, last.Server, last.Holder)
	}
	if c.RangesMoved > 0 {
		d.add(c.FirstMove, "first range moved")
		d.add(c.LastMove, "last of %d ranges moved", c.RangesMoved)
	}
}

// work says what work the servers still got, or got again.
func (d *domainSteps) work(c *report.DomainChange) {
	for _, s := range c.Servers {
		switch {
		case c.OutOfService && s.LastDispatch != nil:
			d.add(s.LastDispatch.At, "server %s: last of %d new requests (%s)", s.Server, s.Dispatches, s.LastDispatch.RequestID)
		case !c.OutOfService && s.FirstDispatch != nil:
			d.add(s.FirstDispatch.At, "server %s: first of %d requests (%s)%s", s.Server, s.Dispatches, s.FirstDispatch.RequestID, coldness(s))
		case !c.OutOfService:
			d.note("server %s: no work recorded%s", s.Server, coldness(s))
		}
	}
	if c.OutOfService && c.Dispatches == 0 {
		d.note("no new work on its servers is recorded from then on")
	}
}

func coldness(s report.ServerChange) string {
	if s.ColdReason == "" {
		return ""
	}
	return ", cold: " + s.ColdReason
}
