package command

import (
	"fmt"
	"io"
	"os"
	"strconv"
	"strings"
	"time"

	"github.com/pkg/errors"

	"peridotmoor.org/peridotmoor/internal/owners"
	"peridotmoor.org/peridotmoor/internal/report/keyowners"
)

func runOwners(t *tool) error {
	service, key, err := parseKey(t.options.Positional)
	if err != nil {
		return err
	}
	log := keyowners.NewLog(service, key)
	if len(t.files) == 0 {
		if err := log.Read(t.stdin); err != nil {
			return err
		}
	}
	for _, name := range t.files {
		file, err := os.Open(name)
		if err != nil {
			return errors.Wrap(err, "cannot read a log")
		}
		err = log.Read(file)
		file.Close()
		if err != nil {
			return err
		}
	}
	history := log.History()
	return t.print(history, func(w io.Writer) { writeOwners(w, history) })
}

// parseKey reads SERVICE:KEY.
func parseKey(text string) (service string, key int, err error) {
	at := strings.LastIndex(text, ":")
	if at > 0 {
		key, err = strconv.Atoi(text[at+1:])
	}
	if at <= 0 || err != nil || key < 0 || key >= owners.NumKeys {
		return "", 0, usageError{errors.Errorf("%q is not a key; write SERVICE:KEY with a number below %d, as in the call_ended line of a request", text, owners.NumKeys)}
	}
	return text[:at], key, nil
}

func writeOwners(w io.Writer, h keyowners.History) {
	fmt.Fprintf(w, "Key %d of service %s\n", h.Key, serviceName(h.Service))
	events := h.Events
	writeUntil := func(at time.Time) {
		for len(events) > 0 && !events[0].At.After(at) {
			e := events[0]
			fmt.Fprintf(w, "  %s  %s epoch %d: %s %s\n", e.At.UTC().Format(timeLayout), e.Instance, e.Epoch, e.Name, e.Detail)
			events = events[1:]
		}
	}
	for _, g := range h.Grants {
		writeUntil(g.SentAt)
		fmt.Fprintf(w, "  %s  %s epoch %d: GRANT to %s, first answer %s; %s\n", g.SentAt.UTC().Format(timeLayout), g.Instance, g.Epoch, grantText(g), g.Outcome, endText(g))
	}
	if len(events) > 0 {
		writeUntil(events[len(events)-1].At)
	}
	if len(h.Grants) == 0 {
		fmt.Fprintln(w, "No line grants this key.")
	}
	for _, o := range h.Overlaps {
		from := o.From.UTC().Format(timeLayout)
		grants := fmt.Sprintf("%s by %s, and %s by %s", grantText(o.First), o.First.Instance, grantText(o.Second), o.Second.Instance)
		switch {
		case o.First.Until.IsZero():
			fmt.Fprintf(w, "NOT KNOWN whether there were two owners from %s on, as no line tells the end of the first: %s\n", from, grants)
		default:
			fmt.Fprintf(w, "TWO OWNERS from %s to %s: %s\n", from, o.Until.UTC().Format(timeLayout), grants)
		}
	}
	if len(h.Overlaps) == 0 && len(h.Grants) > 0 {
		fmt.Fprintln(w, "By these lines no two servers had a grant at the same time.")
	}
	if h.DroppedLines > 0 || h.UnreadableLines > 0 {
		fmt.Fprintf(w, "%d lines were dropped by their instances and %d could not be read; grants may be missing\n", h.DroppedLines, h.UnreadableLines)
	}
}

func grantText(g keyowners.Grant) string {
	return fmt.Sprintf("%s/%d under fence %d", g.Server, g.StartMS, g.Fence)
}

func endText(g keyowners.Grant) string {
	if g.Until.IsZero() {
		return "no line tells its end"
	}
	return fmt.Sprintf("%s, valid until %s", g.End, g.Until.UTC().Format(timeLayout))
}
