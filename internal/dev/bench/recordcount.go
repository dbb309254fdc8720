package bench

import (
	"bufio"
	"encoding/json"
	"os"

	"github.com/pkg/errors"

	"peridotmoor.org/peridotmoor/internal/events"
)

// maxLineBytes bounds one line of a router's records.
const maxLineBytes = 1 << 20

// recordCount is what a router wrote into its records.
type recordCount struct {
	written int
	// dropped are the lines that did not fit into the queue of the logger. The
	// records do not explain the requests that they belonged to.
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

// droppedBefore returns how many lines were dropped before this one, as it says.
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
