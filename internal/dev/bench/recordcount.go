package bench

import (
	"bufio"
	"encoding/json"
	"os"

	"github.com/pkg/errors"

	"peridotmoor.org/peridotmoor/internal/events"
)

// maxLineBytes limits a line of a router's records.
const maxLineBytes = 1 << 20

// recordCount counts the lines of a router's records.
type recordCount struct {
	written int
	// dropped counts the lines that did not fit into the queue of the logger. The
	// records of the requests concerned are incomplete.
	dropped int
}

// countRecords reads the records of a router that has stopped.
func countRecords(path string) (recordCount, error) {
	file, err := os.Open(path)
	if err != nil {
		return recordCount{}, errors.Wrap(err, "records")
	}
	defer file.Close()
	var counted recordCount
	lines := bufio.NewScanner(file)
	lines.Buffer(nil, maxLineBytes)
	for lines.Scan() {
		counted.written++
		dropped, err := droppedBefore(lines.Bytes())
		if err != nil {
			return counted, err
		}
		counted.dropped += dropped
	}
	return counted, errors.Wrap(lines.Err(), "records")
}

// droppedBefore returns the number of dropped lines that the line reports, or 0 if it is
// another event.
func droppedBefore(line []byte) (int, error) {
	var record struct {
		Event int `json:"event"`
		Count int `json:"count"`
	}
	if err := json.Unmarshal(line, &record); err != nil {
		return 0, errors.Wrapf(err, "record %.80q", line)
	}
	if record.Event != events.EventsDropped.Number {
		return 0, nil
	}
	return record.Count, nil
}
