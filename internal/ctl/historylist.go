package ctl

import (
	"fmt"
	"io"
	"text/tabwriter"
	"time"
)

type historyList []historyEntry

func (l historyList) writeText(w io.Writer) {
	table := tabwriter.NewWriter(w, 0, 8, 2, ' ', 0)
	fmt.Fprintln(table, "VERSION\tTIME\tAUTHOR\tCHANGES\tWRITE ID")
	for _, p := range l {
		changes := fmt.Sprint(p.Changes)
		if p.Changes < 0 {
			changes = "-"
		}
		fmt.Fprintf(table, "%d\t%s\t%s\t%s\t%s\n", p.Version, p.Time.UTC().Format(time.RFC3339), p.Author, changes, p.WriteID)
	}
	table.Flush()
}
