package command

import "peridotmoor.org/peridotmoor/internal/report"

// window returns the time that --from and --to bound.
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
