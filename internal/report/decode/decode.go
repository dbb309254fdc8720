// Package decode reads records from JSON lines.
package decode

import (
	"bufio"
	"bytes"
	"io"
	"slices"
	"time"

	"github.com/pkg/errors"

	"peridotmoor.org/peridotmoor/internal/events"
	"peridotmoor.org/peridotmoor/internal/report"
)

// maxLineBytes limits one line. The longest field is a message with a path of at most
// 4 KB.
const maxLineBytes = 1 << 20

// ReadRecords reads the records of one source. An invalid line is reported in the second
// result and does not end the reading; a failed read does.
func ReadRecords(source string, in io.Reader) ([]*report.Record, []report.BadLine, error) {
	var records []*report.Record
	var bad []report.BadLine
	reader := bufio.NewReaderSize(in, maxLineBytes)
	for number := 1; ; number++ {
		line, long, err := readLine(reader)
		if err != nil && err != io.EOF {
			return records, bad, errors.Wrapf(err, "read %s", source)
		}
		switch record, problem := parseRecord(line); {
		case long:
			bad = append(bad, report.BadLine{Source: source, Line: number, Reason: "the line is longer than 1 MiB"})
		case len(bytes.TrimSpace(line)) == 0:
		case problem != nil:
			bad = append(bad, report.BadLine{Source: source, Line: number, Reason: problem.Error()})
		default:
			records = append(records, record)
		}
		if err == io.EOF {
			assignInstances(source, records)
			return records, bad, nil
		}
	}
}

// assignInstances assigns a record without an instance, such as events_dropped, to the
// instance of the record before it, or else of the first one after it: one source is the
// output of one instance, or several such outputs concatenated.
func assignInstances(source string, records []*report.Record) {
	name := "unnamed instance of " + source
	for _, r := range slices.Backward(records) {
		if r.Instance != "" {
			name = r.Instance
		}
	}
	for _, r := range records {
		if r.Instance == "" {
			r.Instance = name
		}
		name = r.Instance
	}
}

// readLine returns the next line, and whether it was too long. The rest of such a line is
// skipped.
func readLine(reader *bufio.Reader) ([]byte, bool, error) {
	line, err := reader.ReadSlice('\n')
	if err != bufio.ErrBufferFull {
		return line, false, err
	}
	for err == bufio.ErrBufferFull {
		_, err = reader.ReadSlice('\n')
	}
	return nil, true, err
}

// parseRecord decodes the record in a line.
func parseRecord(line []byte) (*report.Record, error) {
	fields, err := parseFields(line)
	if err != nil {
		return nil, err
	}
	r := &report.Record{Fields: fields}
	if r.At, err = time.Parse(time.RFC3339Nano, takeText(fields, "at")); err != nil {
		return nil, errors.New(`field "at" is not a time (RFC 3339)`)
	}
	number, isNumber := fields["event"].(float64)
	if !isNumber {
		return nil, errors.New(`field "event" is not a number`)
	}
	delete(fields, "event")
	r.Event = int(number)
	r.Name = takeText(fields, "name")
	r.Level = takeText(fields, "level")
	r.Message = takeText(fields, "msg")
	r.Instance = takeText(fields, events.FieldInstance)
	r.Domain = takeText(fields, events.FieldDomain)
	return r, nil
}

// takeText removes a text field and returns its value.
func takeText(fields map[string]any, name string) string {
	value, _ := fields[name].(string)
	delete(fields, name)
	return value
}
