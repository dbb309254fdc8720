package report

import (
	"time"

	"peridotmoor.org/peridotmoor/internal/events"
	"peridotmoor.org/peridotmoor/internal/outcome"
)

// RequestHistory is what the records show about one request.
type RequestHistory struct {
	ID      string
	Service string
	Key     string
	// IdempotenceKnown reports whether a record says if the request is idempotent.
	IdempotenceKnown bool
	Idempotent       bool
	Records          []*Record
	// Conclusions are the conclusions of entry instances, one for each sending by the caller.
	Conclusions []Conclusion
	Dispatches  []Dispatch
	// HolderConclusions are the records of holders that the request has ended there.
	HolderConclusions []*Record
}

// HistoryOf joins the records of one request.
func (j *Journal) HistoryOf(id string) *RequestHistory {
	h := &RequestHistory{ID: id, Records: j.Request(id)}
	for _, r := range h.Records {
		h.add(r)
	}
	return h
}

func (h *RequestHistory) add(r *Record) {
	if h.Service == "" {
		h.Service, h.Key = r.Text(fieldService), r.Text(fieldKey)
	}
	if r.Has(fieldIdempotent) {
		h.IdempotenceKnown, h.Idempotent = true, r.Flag(fieldIdempotent)
	}
	switch r.Event {
	case events.EntryEnded.Number, events.RequestRefusedAtEntry.Number:
		h.Conclusions = append(h.Conclusions, newConclusion(r))
	case events.RequestDispatched.Number:
		h.Dispatches = append(h.Dispatches, Dispatch{At: r.At, Holder: r.Instance, Server: r.Text(fieldServer), Token: r.Text(fieldToken)})
	case events.RequestAnswered.Number, events.DispatchFailed.Number:
		h.endDispatch(r)
	case events.RequestEnded.Number:
		h.HolderConclusions = append(h.HolderConclusions, r)
	}
}

// endDispatch ends the first open dispatch of the same holder to the same server.
func (h *RequestHistory) endDispatch(r *Record) {
	for n := range h.Dispatches {
		d := &h.Dispatches[n]
		if !d.EndMissing() || d.Holder != r.Instance || d.Server != r.Text(fieldServer) {
			continue
		}
		d.End = r.At
		d.Answered = r.Event == events.RequestAnswered.Number
		d.Kind, d.Detail, d.stage = r.Text(fieldKind), failureReason(r), stageOf(r)
		return
	}
}

// Outcome is what the entry instances told the caller in all, and empty when no
// record of an entry says it.
func (h *RequestHistory) Outcome() outcome.Outcome {
	if len(h.Conclusions) == 0 {
		return ""
	}
	all := outcome.NotRun
	for _, ending := range h.Conclusions {
		switch ending.Outcome {
		case outcome.Answered:
			return outcome.Answered
		case outcome.NotRun:
		default:
			all = outcome.Unknown
		}
	}
	return all
}

// Start is when the first entry instance received the request, or else the time
// of the first record.
func (h *RequestHistory) Start() time.Time {
	if len(h.Records) == 0 {
		return time.Time{}
	}
	start := h.Records[0].At
	for _, ending := range h.Conclusions {
		if begun := ending.At.Add(-ending.Duration); begun.Before(start) {
			start = begun
		}
	}
	return start
}

// End is the time of the last record.
func (h *RequestHistory) End() time.Time {
	if len(h.Records) == 0 {
		return time.Time{}
	}
	return h.Records[len(h.Records)-1].At
}

// Duration is from the first arrival at an entry instance to the deciding conclusion,
// and 0 when no conclusion is recorded.
func (h *RequestHistory) Duration() time.Duration {
	if told := h.decidingConclusion(); told != nil {
		return told.At.Sub(h.Start())
	}
	return 0
}

// decidingConclusion returns the conclusion that decided the outcome: the first one that
// says the outcome of the request as a whole, or nil when none is recorded.
func (h *RequestHistory) decidingConclusion() *Conclusion {
	all := h.Outcome()
	for n := range h.Conclusions {
		if h.Conclusions[n].Outcome == all {
			return &h.Conclusions[n]
		}
	}
	if len(h.Conclusions) == 0 {
		return nil
	}
	return &h.Conclusions[len(h.Conclusions)-1]
}
