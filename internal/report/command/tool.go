package command

import (
	"encoding/json"
	"fmt"
	"io"
	"os"

	"github.com/pkg/errors"

	"peridotmoor.org/peridotmoor/internal/report"
	"peridotmoor.org/peridotmoor/internal/report/decode"
)

// tool holds the arguments and streams of one run of a subcommand.
type tool struct {
	options options
	files   []string
	stdin   io.Reader
	stdout  io.Writer
	stderr  io.Writer
}

func (t *tool) exit(c command, err error) int {
	if err == nil {
		return ExitOK
	}
	fmt.Fprintf(t.stderr, "peridotmoor-report %s: %v\n", c.name, err)
	var usage usageError
	if errors.As(err, &usage) {
		return ExitUsage
	}
	return ExitFailed
}

// journal reads all record files. Lines that are not valid records are printed to the
// standard error output, at most maxBadLines of them, and counted in the report.
func (t *tool) journal() (*report.Journal, error) {
	records, bad, err := t.read()
	if err != nil {
		return nil, err
	}
	const maxBadLines = 10
	for n, line := range bad {
		if n == maxBadLines {
			fmt.Fprintf(t.stderr, "... and %d more lines that could not be read\n", len(bad)-n)
			break
		}
		fmt.Fprintln(controlCharFilter{t.stderr}, line)
	}
	if len(records) == 0 {
		return nil, errors.New("the input holds no records; give the files of [records] path of each instance")
	}
	return report.NewJournal(records, bad), nil
}

func (t *tool) read() ([]*report.Record, []report.BadLine, error) {
	if len(t.files) == 0 {
		return decode.ReadRecords("standard input", t.stdin)
	}
	var records []*report.Record
	var bad []report.BadLine
	for _, name := range t.files {
		more, moreBad, err := readFile(name)
		if err != nil {
			return nil, nil, err
		}
		records, bad = append(records, more...), append(bad, moreBad...)
	}
	return records, bad, nil
}

func readFile(name string) ([]*report.Record, []report.BadLine, error) {
	file, err := os.Open(name)
	if err != nil {
		return nil, nil, errors.Wrap(err, "cannot read records")
	}
	defer file.Close()
	return decode.ReadRecords(name, file)
}

// print writes value as JSON, or as text with the given function.
func (t *tool) print(value any, text func(io.Writer)) error {
	if !t.options.JSON {
		text(controlCharFilter{t.stdout})
		return nil
	}
	encoder := json.NewEncoder(t.stdout)
	encoder.SetIndent("", "  ")
	return errors.Wrap(encoder.Encode(value), "write the report")
}
