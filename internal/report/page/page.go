// Package page writes the HTML report: a single file that contains its plots and needs no
// other resources.
package page

import (
	_ "embed"
	"fmt"
	"html/template"
	"io"
	"time"

	"github.com/pkg/errors"

	"peridotmoor.org/peridotmoor/internal/report"
)

//go:embed page.html
var source string

var pageTemplate = template.Must(template.New("page").Funcs(template.FuncMap{
	"time":  func(at time.Time) string { return at.UTC().Format("2006-01-02 15:04:05.000") },
	"hour":  func(at time.Time) string { return at.UTC().Format("2006-01-02 15h") },
	"ms":    func(d time.Duration) string { return fmt.Sprintf("%.1f", float64(d)/float64(time.Millisecond)) },
	"share": share,
	"since": func(at, begin time.Time) string { return fmt.Sprintf("%+.1f s", at.Sub(begin).Seconds()) },
}).Parse(source))

// view is the data of the template.
type view struct {
	report.Overview
	Outcomes *barPlot
	Latency  *linePlot
	Holders  *shardPlot
}

// Write writes the HTML report.
func Write(w io.Writer, b report.Overview) error {
	v := view{Overview: b, Outcomes: newBarPlot(b.Timeline), Latency: newLinePlot(b.Timeline), Holders: newShardPlot(b.ShardHistories)}
	return errors.Wrap(pageTemplate.Execute(w, v), "write the page")
}

// share formats a part of a whole in percent. It never rounds up to 100.
func share(part, whole int) string {
	if whole == 0 {
		return "-"
	}
	percent := float64(part) * 100 / float64(whole)
	if part < whole {
		percent = min(percent, 99.99)
	}
	return fmt.Sprintf("%.2f %%", percent)
}
