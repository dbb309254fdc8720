package report

import (
	"fmt"
	"time"

	"peridotmoor.org/peridotmoor/internal/outcome"
)

// OutcomeNotRecorded is the reported outcome of a request without a recorded outcome.
const OutcomeNotRecorded outcome.Outcome = "not-recorded"

// Explanation describes what happened to one request.
type Explanation struct {
	ID               string          `json:"request_id"`
	Service          string          `json:"service"`
	Key              string          `json:"key"`
	IdempotenceKnown bool            `json:"-"`
	Idempotent       bool            `json:"idempotent"`
	Outcome          outcome.Outcome `json:"outcome"`
	// Proof says what proves the outcome, or which record is missing for it.
	Proof string    `json:"proof"`
	Start time.Time `json:"start"`
	// Duration is the time from the arrival to the deciding conclusion of an entry
	// instance; 0 when no conclusion is recorded.
	Duration time.Duration `json:"took_ns"`
	Steps    []Step        `json:"steps"`
	// Contradictions describe records that contradict the outcome or each other.
	Contradictions []string `json:"contradictions"`
	// Missing describes the records that are or may be missing.
	Missing []string `json:"missing"`
}

// Explain reconstructs what happened to a request.
func Explain(j *Journal, id string) Explanation {
	h := j.HistoryOf(id)
	e := Explanation{
		ID:               id,
		Service:          h.Service,
		Key:              h.Key,
		IdempotenceKnown: h.IdempotenceKnown,
		Idempotent:       h.Idempotent,
		Outcome:          h.Outcome(),
		Proof:            qualifiedProof(j, h),
		Start:            h.Start(),
		Contradictions:   h.Contradictions(),
		Missing:          missingRecords(j, h),
	}
	if e.Outcome == "" {
		e.Outcome = OutcomeNotRecorded
	}
	e.Duration = h.Duration()
	e.Steps = steps(e.Start, h.Records)
	return e
}

// missingRecords describes the missing records of the request, and the gaps that overlap
// its time.
func missingRecords(j *Journal, h *RequestHistory) []string {
	var found []string
	for n := range h.Dispatches {
		if d := &h.Dispatches[n]; d.EndMissing() {
			found = append(found, fmt.Sprintf("how the dispatch to server %s by holder %s ended", d.Server, d.Holder))
		}
	}
	if len(h.Conclusions) == 0 {
		found = append(found, "the conclusion of an entry instance")
	}
	for _, gap := range gapsOf(j, h) {
		found = append(found, gap.String())
	}
	return append(found, j.unreadable()...)
}

// gapsOf returns the gaps that overlap the time of a request, and all gaps if the request
// has no records.
func gapsOf(j *Journal, h *RequestHistory) []Gap {
	var gaps []Gap
	for _, gap := range j.Gaps() {
		if len(h.Records) == 0 || gap.Covers(h.Start(), h.End()) {
			gaps = append(gaps, gap)
		}
	}
	return gaps
}

// qualifiedProof adds to a proof of "not run" that records of another attempt may be
// missing. The record that a holder keeps of a non-idempotent request covers all its
// attempts.
func qualifiedProof(j *Journal, h *RequestHistory) string {
	proof := h.Proof()
	if h.Outcome() != outcome.NotRun || h.IdempotenceKnown && !h.Idempotent || len(gapsOf(j, h)) == 0 {
		return proof
	}
	return proof + "; this holds for the recorded attempts only, since records of its time are missing"
}
