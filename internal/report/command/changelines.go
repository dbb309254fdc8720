package command

import (
	"fmt"
	"slices"
	"time"

	"peridotmoor.org/peridotmoor/internal/report"
)

// changeLines collects the output lines about one change of a failure domain.
type changeLines struct {
	timed []timedLine
	// untimed are the lines without a time.
	untimed []string
}

func (d *changeLines) add(at time.Time, format string, values ...any) {
	d.timed = append(d.timed, timedLine{at: at, text: fmt.Sprintf(format, values...)})
}

func (d *changeLines) addUntimed(format string, values ...any) {
	d.untimed = append(d.untimed, fmt.Sprintf(format, values...))
}

// sorted returns the lines with a time in chronological order.
func (d *changeLines) sorted() []timedLine {
	slices.SortStableFunc(d.timed, func(a, b timedLine) int { return a.at.Compare(b.at) })
	return d.timed
}

// addSettings adds when the version came into effect.
func (d *changeLines) addSettings(c *report.DomainChange) {
	for _, e := range c.InEffect {
		d.add(e.At, "settings version %d in effect at %s", c.Version, e.Instance)
	}
	for _, name := range c.NoInstallRecord {
		d.addUntimed("no record that version %d was in effect at %s", c.Version, name)
	}
}

// addServers adds when the holders acted.
func (d *changeLines) addServers(c *report.DomainChange) {
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

// addDispatches adds the last new requests, or the first ones, that the servers received.
func (d *changeLines) addDispatches(c *report.DomainChange) {
	for _, s := range c.Servers {
		switch {
		case c.OutOfService && s.LastDispatch != nil:
			d.add(s.LastDispatch.At, "server %s: last of %d new requests (%s)", s.Server, s.Dispatches, s.LastDispatch.RequestID)
		case !c.OutOfService && s.FirstDispatch != nil:
			d.add(s.FirstDispatch.At, "server %s: first of %d requests (%s)%s", s.Server, s.Dispatches, s.FirstDispatch.RequestID, coldSuffix(s))
		case !c.OutOfService:
			d.addUntimed("server %s: no work recorded%s", s.Server, coldSuffix(s))
		}
	}
	if c.OutOfService && c.Dispatches == 0 {
		d.addUntimed("no new work on its servers is recorded from then on")
	}
}

func coldSuffix(s report.ServerChange) string {
	if s.ColdReason == "" {
		return ""
	}
	return ", cold: " + s.ColdReason
}
