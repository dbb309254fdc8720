package report

import (
	"fmt"
	"time"

	"peridotmoor.org/peridotmoor/internal/outcome"
)

// OutcomeNotRecorded stands in reports for an outcome that no record tells.
const OutcomeNotRecorded outcome.Outcome = "not-recorded"

// Story tells what happened to one request.
type Story struct {
	ID         string          `json:"request_id"`
	Service    string          `json:"service"`
	Key        string          `json:"key"`
	Marked     bool            `json:"-"`
	Idempotent bool            `json:"idempotent"`
	Outcome    outcome.Outcome `json:"outcome"`
	// Proof says why the outcome holds.
	Proof string    `json:"proof"`
	Start time.Time `json:"start"`
	// Took is from the arrival to the deciding conclusion of an entry; 0 when that is missing.
	Took  time.Duration `json:"took_ns"`
	Steps []Step        `json:"steps"`
	// Contradictions are records that do not agree with the outcome.
	Contradictions []string `json:"contradictions"`
	// Missing says which records are missing or may be.
	Missing []string `json:"missing"`
}

// Explain tells the story of a request.
func Explain(j *Journal, id string) Story {
	a := j.AccountOf(id)
	s := Story{
		ID:             id,
		Service:        a.Service,
		Key:            a.Key,
		Marked:         a.Marked,
		Idempotent:     a.Idempotent,
		Outcome:        a.Outcome(),
		Proof:          a.Proof(),
		Start:          a.Start(),
		Contradictions: a.Contradictions(),
		Missing:        missing(j, a),
	}
	if s.Outcome == "" {
		s.Outcome = OutcomeNotRecorded
	}
	s.Took = a.Took()
	s.Steps = steps(s.Start, a.Records)
	return s
}

// Contradictions returns one sentence for each part of the records that does
// not agree with the outcome or with the rules of the router.
func (a *Account) Contradictions() []string {
	var found []string
	ran := 0
	for n := range a.Dispatches {
		d := &a.Dispatches[n]
		if d.Open() || !d.MayHaveRun() {
			continue
		}
		ran++
		if a.Outcome() == outcome.NotRun {
			found = append(found, fmt.Sprintf("the caller was told not run, but the dispatch to server %s by holder %s may have run it", d.Server, d.Holder))
		}
	}
	if a.Marked && !a.Idempotent && ran > 1 {
		found = append(found, fmt.Sprintf("the request is not idempotent, but %d of its dispatches may have run it", ran))
	}
	return found
}

// missing says which records of the request are missing, and which instances
// are known to have lost records of its time.
func missing(j *Journal, a *Account) []string {
	var found []string
	for n := range a.Dispatches {
		if d := &a.Dispatches[n]; d.Open() {
			found = append(found, fmt.Sprintf("how the dispatch to server %s by holder %s ended", d.Server, d.Holder))
		}
	}
	if len(a.Endings) == 0 {
		found = append(found, "the conclusion of an entry instance")
	}
	for _, i := range j.Instances() {
		if len(a.Records) == 0 || i.lost(a.Start(), a.End()) {
			found = append(found, i.losses()...)
		}
	}
	return append(found, j.unreadable()...)
}

// lossesOf lists what is known to be missing from the records as a whole.
func lossesOf(j *Journal) []string {
	var found []string
	for _, i := range j.Instances() {
		found = append(found, i.losses()...)
	}
	return append(found, j.unreadable()...)
}

func (j *Journal) unreadable() []string {
	if len(j.BadLines) == 0 {
		return nil
	}
	return []string{fmt.Sprintf("%d lines that could not be read", len(j.BadLines))}
}
