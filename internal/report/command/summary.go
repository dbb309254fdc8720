package command

import (
	"fmt"
	"io"
	"text/tabwriter"
	"time"

	"peridotmoor.org/peridotmoor/internal/report"
)

func runSummary(t *tool) error {
	journal, window, err := t.journalAndWindow()
	if err != nil {
		return err
	}
	s := report.Summarize(journal, window)
	return t.print(s, func(w io.Writer) { writeSummary(w, s) })
}

func writeSummary(w io.Writer, s report.Summary) {
	fmt.Fprintf(w, "%d requests: answered %d, not run %d, unknown %d, outcome not recorded %d\n\n",
		s.Total.Sent, s.Total.Answered, s.Total.NotRun, s.Total.Unknown, s.Total.NotRecorded)
	table := tabwriter.NewWriter(w, 0, 8, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(table, "hour (UTC)\tservice\tsent\tanswered\tnot run\tunknown\tnot recorded\tp50 ms\tp90 ms\tp99 ms\tp99.9 ms\tmax ms\t")
	for _, row := range s.Rows {
		fmt.Fprintf(table, "%s\t%s\t%d\t%d\t%d\t%d\t%d\t%s\n", row.Hour.Format("2006-01-02 15h"), serviceName(row.Service),
			row.Sent, row.Answered, row.NotRun, row.Unknown, row.NotRecorded, latencyCells(row.Latencies))
	}
	_ = table.Flush() // the destination reports its own errors
	for _, row := range s.Rows {
		writeReasons(w, row)
	}
	writeList(w, "\nRecords known to be missing; the counts lack them", s.Missing)
}

func latencyCells(l report.Latencies) string {
	cells := ""
	for _, d := range []time.Duration{l.P50, l.P90, l.P99, l.P999, l.Max} {
		if l.Count == 0 {
			cells += "-\t"
			continue
		}
		cells += fmt.Sprintf("%.1f\t", float64(d)/float64(time.Millisecond))
	}
	return cells
}

func serviceName(name string) string {
	if name == "" {
		return "(none)"
	}
	return name
}

func writeReasons(w io.Writer, row report.SummaryRow) {
	if len(row.Reasons) == 0 {
		return
	}
	fmt.Fprintf(w, "\n%s, %s, not answered:\n", row.Hour.Format("2006-01-02 15h"), serviceName(row.Service))
	for _, reason := range row.Reasons {
		fmt.Fprintf(w, "  %6d  %s %s: %s\n", reason.Count, reason.Outcome, reason.Kind, reason.StageText)
	}
}
