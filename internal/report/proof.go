package report

import (
	"fmt"
	"strings"

	"peridotmoor.org/peridotmoor/internal/outcome"
)

// stageDescriptions say what the stage at which a request ended proves about the backend
// server.
var stageDescriptions = map[outcome.Stage]string{
	outcome.StageEntry:           "before it was sent to any holder",
	outcome.StageForwardUnsent:   "before any byte of it was sent to a holder that could run it",
	outcome.StageForwardSent:     "after it was sent to a holder whose answer was lost",
	outcome.StageQueued:          "before any byte of it was sent to a backend server",
	outcome.StageConnect:         "before any byte of it was written to the backend server",
	outcome.StageRefusedByServer: "by the backend server itself, which stated for this request ID that it does not run it",
	outcome.StageWritten:         "after bytes of it were written to a backend server",
	outcome.StageComplete:        "after the whole answer was received",
}

func describeStageOf(r *Record) string {
	return describeStage(stageOf(r))
}

func describeStage(stage outcome.Stage) string {
	if text, known := stageDescriptions[stage]; known {
		return text
	}
	return "at a stage that the record does not name"
}

// describe says what the conclusion proves. A refusal is concluded as unknown if an
// earlier attempt may have run.
func (c Conclusion) describe() string {
	if c.Outcome == outcome.Unknown && outcome.Classify(c.stage, false).Outcome == outcome.NotRun {
		return "after an earlier attempt that may have run it"
	}
	return describeStage(c.stage)
}

// Proof says what proves the outcome, or which record is missing for it.
func (h *RequestHistory) Proof() string {
	switch h.Outcome() {
	case outcome.Answered:
		return h.proveAnswered()
	case outcome.NotRun:
		return h.proveNotRun()
	case outcome.Unknown:
		return h.explainUnknown()
	default:
		return h.explainNotRecorded()
	}
}

func (h *RequestHistory) proveAnswered() string {
	conclusion := h.decidingConclusion()
	for _, d := range h.Dispatches {
		if d.Answered {
			return fmt.Sprintf("answered, because server %s answered holder %s and entry %s passed the whole answer on", d.Server, d.Holder, conclusion.Instance)
		}
	}
	return fmt.Sprintf("answered, because entry %s passed a whole answer on; the record of the server's answer is missing", conclusion.Instance)
}

func (h *RequestHistory) proveNotRun() string {
	var clauses []string
	for _, conclusion := range h.Conclusions {
		clause := h.refusingHolder(conclusion) + describeStage(conclusion.stage) + entryAndCause(conclusion)
		if len(clauses) == 0 || clauses[len(clauses)-1] != clause {
			clauses = append(clauses, clause)
		}
	}
	attempts := "its only recorded attempt was refused "
	if len(h.Conclusions) > 1 {
		attempts = fmt.Sprintf("every one of its %d recorded attempts was refused: ", len(h.Conclusions))
	}
	text := "not run, because " + attempts + strings.Join(clauses, "; and ")
	if len(h.Dispatches) > 0 {
		text += fmt.Sprintf("; of its %d dispatches to servers %s", len(h.Dispatches), h.describeDispatches())
	}
	return text
}

// describeDispatches says what the dispatches show about a request with the outcome "not
// run".
func (h *RequestHistory) describeDispatches() string {
	if possible := len(h.possibleExecutions()); possible > 0 {
		return fmt.Sprintf("%d may have run it by these records", possible)
	}
	return "none wrote a byte that the server took for the request"
}

// refusingHolder names the holder that refused the request. The holder's own record must
// state the same kind and stage as that of the entry instance, because the clocks of two
// instances cannot order their records.
func (h *RequestHistory) refusingHolder(c Conclusion) string {
	if c.stage < outcome.StageQueued {
		return ""
	}
	for _, end := range h.HolderConclusions {
		if end.Text(fieldKind) == c.Kind && stageOf(end) == c.stage {
			return "at holder " + end.Instance + " "
		}
	}
	return ""
}

func entryAndCause(c Conclusion) string {
	cause := c.Kind
	if c.Detail != "" {
		cause += ": " + c.Detail
	}
	return fmt.Sprintf(" (entry %s, %s)", c.Instance, cause)
}

func (h *RequestHistory) explainUnknown() string {
	for _, conclusion := range h.Conclusions {
		if conclusion.Outcome == outcome.NotRun {
			continue
		}
		return "unknown, because it ended " + conclusion.describe() + entryAndCause(conclusion) + h.listPossibleServers()
	}
	return "unknown"
}

// listPossibleServers names the servers that may have run the request.
func (h *RequestHistory) listPossibleServers() string {
	var servers []string
	for _, d := range h.possibleExecutions() {
		servers = append(servers, d.Server)
	}
	if len(servers) == 0 {
		return "; no record shows a dispatch to a server"
	}
	return "; it may have run on " + strings.Join(servers, ", ")
}

func (h *RequestHistory) explainNotRecorded() string {
	if len(h.Records) == 0 {
		return "no record: nothing can be said about this request"
	}
	if len(h.HolderConclusions) > 0 {
		end := h.HolderConclusions[len(h.HolderConclusions)-1]
		return fmt.Sprintf("not recorded: the record of the entry instance is missing, so what the caller was told is not known; holder %s concluded %s", end.Instance, end.Text(fieldOutcome))
	}
	return "not recorded: the records of the request break off before its end" + h.listPossibleServers()
}
