package command

import (
	"fmt"
	"io"
	"os"
	"text/tabwriter"
	"time"

	"github.com/pkg/errors"

	"peridotmoor.org/peridotmoor/internal/report"
	"peridotmoor.org/peridotmoor/internal/report/calls"
)

func runCall(t *tool) error {
	if t.options.Positional == "" {
		return usageError{errors.New("name the ID of a call")}
	}
	log, err := t.callLog()
	if err != nil {
		return err
	}
	call, ok := log.Call(t.options.Positional)
	if !ok {
		return errors.Errorf("no record of call %s; give the logs of all instances. An instance that was killed or dropped lines leaves none", t.options.Positional)
	}
	return t.print(call, func(w io.Writer) { writeCall(w, call) })
}

func writeCall(w io.Writer, c calls.Call) {
	fmt.Fprintf(w, "Call %s\n", c.ID)
	if c.Outcome == "" {
		fmt.Fprintf(w, "  taken by %s; how it ended is not recorded\n", c.Instance)
	} else {
		fmt.Fprintf(w, "  service %s, key %d, taken by %s, settings version %d\n", serviceName(c.Service), c.Key, c.Instance, c.Version)
		fmt.Fprintf(w, "Outcome: %s after %s%s, at %s\n", c.Outcome, report.FormatMillis(c.Duration), limitText(c.Limit), c.Ended.UTC().Format(timeLayout))
		if c.Detail != "" {
			fmt.Fprintf(w, "  why: %s\n", c.Detail)
		}
		if c.RetryAfter > 0 {
			fmt.Fprintf(w, "  the caller was told to come back after %s\n", report.FormatMillis(c.RetryAfter))
		}
	}
	if len(c.Attempts) > 0 || c.Sends > 0 {
		fmt.Fprintf(w, "Sent %d times, the last time to server %s\n", c.Sends, serviceName(c.Server))
	}
	for _, a := range c.Attempts {
		fmt.Fprintf(w, "  %s  %s at server %s: %s\n", a.At.UTC().Format(timeLayout), a.Outcome, a.Server, a.Detail)
	}
	if len(c.PrecedingEvents) > 0 {
		fmt.Fprintf(w, "What %s had learned before:\n", c.Instance)
	}
	for _, n := range c.PrecedingEvents {
		fmt.Fprintf(w, "  %s  %s %s %s\n", n.At.UTC().Format(timeLayout), n.Name, n.Message, n.Detail)
	}
}

func runCalls(t *tool) error {
	log, err := t.callLog()
	if err != nil {
		return err
	}
	counts := log.Counts()
	return t.print(counts, func(w io.Writer) {
		table := tabwriter.NewWriter(w, 0, 8, 2, ' ', 0)
		fmt.Fprintln(table, "calls\tservice\toutcome\treason")
		for _, c := range counts {
			fmt.Fprintf(table, "%d\t%s\t%s\t%s\n", c.Calls, serviceName(c.Service), serviceName(c.Outcome), c.Reason)
		}
		_ = table.Flush() // the destination reports its own errors
		if log.DroppedLines > 0 || log.UnreadableLines > 0 {
			fmt.Fprintf(w, "\n%d lines were dropped by their instances and %d could not be read; the counts lack them\n", log.DroppedLines, log.UnreadableLines)
		}
	})
}

// callLog reads the logs of peridotmoor-entry.
func (t *tool) callLog() (*calls.Log, error) {
	log := calls.NewLog()
	if len(t.files) == 0 {
		return log, log.Read(t.stdin)
	}
	for _, name := range t.files {
		file, err := os.Open(name)
		if err != nil {
			return nil, errors.Wrap(err, "cannot read a log")
		}
		err = log.Read(file)
		file.Close()
		if err != nil {
			return nil, err
		}
	}
	return log, nil
}

// limitText says how long a call was allowed to take, or nothing if that is unknown.
func limitText(limit time.Duration) string {
	if limit == 0 {
		return ""
	}
	return " of " + report.FormatMillis(limit) + " allowed"
}
