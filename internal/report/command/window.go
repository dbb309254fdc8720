package command

import "peridotmoor.org/peridotmoor/internal/report"

// journalAndWindow returns the records and the time window that the options select. It
// checks the options before it reads any record.
func (t *tool) journalAndWindow() (*report.Journal, report.Window, error) {
	window, err := t.window()
	if err != nil {
		return nil, window, err
	}
	journal, err := t.journal()
	return journal, window, err
}

// window returns the time window given by --from and --to.
func (t *tool) window() (report.Window, error) {
	from, err := parseTime("--from", t.options.From)
	if err != nil {
		return report.Window{}, usageError{err}
	}
	to, err := parseTime("--to", t.options.To)
	if err != nil {
		return report.Window{}, usageError{err}
	}
	return report.Window{From: from, To: to}, nil
}
