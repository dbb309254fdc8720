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
	// IdempotenceKnown is set when a record says whether the request is idempotent.
	IdempotenceKnown bool
	Idempotent       bool
	Records          []*Record
	// Conclusions are the outcomes that entry instances recorded, one for each attempt of
	// the caller.
	Conclusions []Conclusion
	Dispatches  []Dispatch
	// HolderConclusions are the holders' records of the end of the request.
	HolderConclusions []*Record
}

// HistoryOf collects the records of one request.
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

// endDispatch records the end of the earliest unfinished dispatch by the same holder to
// the same server.
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

// Outcome combines the recorded conclusions: answered if any attempt was answered, not run
// if no attempt ran, and unknown otherwise. It is empty when no entry instance recorded a
// conclusion.
func (h *RequestHistory) Outcome() outcome.Outcome {
	if len(h.Conclusions) == 0 {
		return ""
	}
	combined := outcome.NotRun
	for _, conclusion := range h.Conclusions {
		switch conclusion.Outcome {
		case outcome.Answered:
			return outcome.Answered
		case outcome.NotRun:
		default:
			combined = outcome.Unknown
		}
	}
	return combined
}

// Start returns when the first entry instance received the request, or the time of the
// first record if that is earlier.
func (h *RequestHistory) Start() time.Time {
	if len(h.Records) == 0 {
		return time.Time{}
	}
	start := h.Records[0].At
	for _, conclusion := range h.Conclusions {
		if arrived := conclusion.At.Add(-conclusion.Duration); arrived.Before(start) {
			start = arrived
		}
	}
	return start
}

// End returns the time of the last record.
func (h *RequestHistory) End() time.Time {
	if len(h.Records) == 0 {
		return time.Time{}
	}
	return h.Records[len(h.Records)-1].At
}

// Duration returns the time from the first arrival at an entry instance to the deciding
// conclusion, or 0 when no conclusion is recorded.
func (h *RequestHistory) Duration() time.Duration {
	if conclusion := h.decidingConclusion(); conclusion != nil {
		return conclusion.At.Sub(h.Start())
	}
	return 0
}

// decidingConclusion returns the first conclusion whose outcome is that of the request as
// a whole, or the last conclusion when there is none such. It returns nil when no
// conclusion is recorded.
func (h *RequestHistory) decidingConclusion() *Conclusion {
	combined := h.Outcome()
	for n := range h.Conclusions {
		if h.Conclusions[n].Outcome == combined {
			return &h.Conclusions[n]
		}
	}
	if len(h.Conclusions) == 0 {
		return nil
	}
	return &h.Conclusions[len(h.Conclusions)-1]
}
