package decode

import (
	"encoding/json"
	"io"
	"time"

	"github.com/pkg/errors"

	"peridotmoor.org/peridotmoor/internal/report"
)

// runLog holds the fields of the backend servers' run log that verification uses.
type runLog struct {
	Runs []struct {
		RequestID  string    `json:"request_id"`
		Server     string    `json:"server"`
		Idempotent bool      `json:"idempotent"`
		Start      time.Time `json:"start"`
	} `json:"runs"`
	Dropped int `json:"dropped"`
}

// ReadRunLog reads a run log. An incomplete log is refused: a verdict on a part of the
// executions would claim too much.
func ReadRunLog(in io.Reader) (runs []report.Execution, dropped int, err error) {
	var log runLog
	if err := json.NewDecoder(in).Decode(&log); err != nil {
		return nil, 0, errors.Wrap(err, "the run log is damaged; write it again")
	}
	if log.Runs == nil {
		return nil, 0, errors.New(`the run log has no "runs"; give the file that the backend servers wrote`)
	}
	for n, run := range log.Runs {
		if run.RequestID == "" {
			return nil, 0, errors.Errorf("run %d of the run log has no request_id", n+1)
		}
		runs = append(runs, report.Execution{RequestID: run.RequestID, Server: run.Server, Idempotent: run.Idempotent, Start: run.Start})
	}
	return runs, log.Dropped, nil
}
