package command

import (
	"bufio"
	"os"

	"github.com/pkg/errors"

	"peridotmoor.org/peridotmoor/internal/report"
	"peridotmoor.org/peridotmoor/internal/report/page"
)

// runHTML writes the HTML report to --output, or to the standard output. With --json it
// prints the data of the report instead.
func runHTML(t *tool) error {
	journal, window, err := t.journalAndWindow()
	if err != nil {
		return err
	}
	overview := report.NewOverview(journal, window)
	if t.options.JSON {
		return t.print(overview, nil)
	}
	if t.options.Output == "" {
		return page.Write(t.stdout, overview)
	}
	return writePage(t.options.Output, overview)
}

func writePage(name string, overview report.Overview) error {
	file, err := os.Create(name)
	if err != nil {
		return errors.Wrap(err, "--output")
	}
	buffer := bufio.NewWriter(file)
	if err := page.Write(buffer, overview); err != nil {
		_ = file.Close() // the first error is reported
		return err
	}
	if err := buffer.Flush(); err != nil {
		_ = file.Close() // the first error is reported
		return errors.Wrap(err, "--output")
	}
	return errors.Wrap(file.Close(), "--output")
}
