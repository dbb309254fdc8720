package decode

import (
	"encoding/json"
	"io"
	"time"

	"github.com/pkg/errors"

	"peridotmoor.org/peridotmoor/internal/outcome"
	"peridotmoor.org/peridotmoor/internal/report"
)

// callersLog holds the fields of the callers' log that verification uses.
type callersLog []struct {
	RequestID  string `json:"request_id"`
	Idempotent bool   `json:"idempotent"`
	Attempts   []struct {
		Entry              string          `json:"entry"`
		Sent               bool            `json:"sent"`
		Outcome            outcome.Outcome `json:"outcome"`
		MismatchedResponse bool            `json:"crossed"`
	} `json:"attempts"`
	Due     time.Time     `json:"due"`
	Latency time.Duration `json:"latency_ns"`
}

// ReadCallersLog reads the callers' log of the requests that they sent.
func ReadCallersLog(in io.Reader) ([]report.SentRequest, error) {
	var log callersLog
	if err := json.NewDecoder(in).Decode(&log); err != nil {
		return nil, errors.Wrap(err, "the callers' records are damaged; write them again")
	}
	var sent []report.SentRequest
	for n, request := range log {
		if request.RequestID == "" {
			return nil, errors.Errorf("request %d of the callers' records has no request_id", n+1)
		}
		one := report.SentRequest{RequestID: request.RequestID, Idempotent: request.Idempotent, From: request.Due, Until: request.Due.Add(request.Latency)}
		for _, attempt := range request.Attempts {
			one.Attempts = append(one.Attempts, report.Attempt(attempt))
		}
		sent = append(sent, one)
	}
	return sent, nil
}
