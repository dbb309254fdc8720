package report

import (
	"fmt"
	"strings"

	"peridotmoor.org/peridotmoor/internal/outcome"
)

// meanings say what a stage proves about a backend server.
var meanings = map[outcome.Stage]string{
	outcome.StageEntry:           "before it was sent to any holder",
	outcome.StageForwardUnsent:   "before any byte of it was sent to a holder that could run it",
	outcome.StageForwardSent:     "after it was sent to a holder whose answer was lost",
	outcome.StageQueued:          "before any byte of it was sent to a backend server",
	outcome.StageConnect:         "before any byte of it was written to the backend server",
	outcome.StageRefusedByServer: "by the backend server itself, which stated for this request ID that it does not run it",
	outcome.StageWritten:         "after bytes of it were written to a backend server",
	outcome.StageWhole:           "after the whole answer was received",
}

func stageMeaning(r *Record) string {
	return meaning(stageOf(r))
}

func meaning(stage outcome.Stage) string {
	if text, known := meanings[stage]; known {
		return text
	}
	return "at a stage that the record does not name"
}

// Proof says why the outcome holds, or what is missing to say so.
func (a *Account) Proof() string {
	switch a.Outcome() {
	case outcome.Answered:
		return a.proofOfAnswer()
	case outcome.NotRun:
		return a.proofOfNotRun()
	case outcome.Unknown:
		return a.reasonOfDoubt()
	default:
		return a.withoutEntry()
	}
}

func (a *Account) proofOfAnswer() string {
	told := a.last()
	for _, d := range a.Dispatches {
		if d.Answered {
			return fmt.Sprintf("answered, because server %s answered holder %s and entry %s passed the whole answer on", d.Server, d.Holder, told.Instance)
		}
	}
	return fmt.Sprintf("answered, because entry %s passed a whole answer on; the record of the server's answer is missing", told.Instance)
}

func (a *Account) proofOfNotRun() string {
	var clauses []string
	for _, ending := range a.Endings {
		clause := "it was refused " + meaning(ending.stage) + where(ending)
		if len(clauses) == 0 || clauses[len(clauses)-1] != clause {
			clauses = append(clauses, clause)
		}
	}
	attempts := "its only attempt ended so: "
	if len(a.Endings) > 1 {
		attempts = fmt.Sprintf("each of its %d attempts ended so: ", len(a.Endings))
	}
	text := "not run, because " + attempts + strings.Join(clauses, "; ")
	if len(a.Dispatches) > 0 {
		text += fmt.Sprintf("; of its %d dispatches to servers %s", len(a.Dispatches), a.dispatchesProve())
	}
	return text
}

// dispatchesProve says what the dispatches of a request that is claimed not run show.
func (a *Account) dispatchesProve() string {
	doubtful := 0
	for n := range a.Dispatches {
		if a.Dispatches[n].MayHaveRun() {
			doubtful++
		}
	}
	if doubtful > 0 {
		return fmt.Sprintf("%d may have run it by these records", doubtful)
	}
	return "none wrote a byte that the server took for the request"
}

func where(e Ending) string {
	cause := e.Kind
	if e.Detail != "" {
		cause += ": " + e.Detail
	}
	return fmt.Sprintf(" (entry %s, %s)", e.Instance, cause)
}

func (a *Account) reasonOfDoubt() string {
	for _, ending := range a.Endings {
		if ending.Outcome == outcome.NotRun {
			continue
		}
		return "unknown, because it ended " + meaning(ending.stage) + where(ending) + a.seenOfServers()
	}
	return "unknown"
}

// seenOfServers lists the dispatches that may have run the request.
func (a *Account) seenOfServers() string {
	var servers []string
	for n := range a.Dispatches {
		d := &a.Dispatches[n]
		if d.MayHaveRun() {
			servers = append(servers, d.Server)
		}
	}
	if len(servers) == 0 {
		return "; no record shows a dispatch to a server"
	}
	return "; it may have run on " + strings.Join(servers, ", ")
}

func (a *Account) withoutEntry() string {
	if len(a.Records) == 0 {
		return "no record: nothing can be said about this request"
	}
	if len(a.HolderEnds) > 0 {
		end := a.HolderEnds[len(a.HolderEnds)-1]
		return fmt.Sprintf("not recorded: the record of the entry instance is missing, so what the caller was told is not known; holder %s concluded %s", end.Instance, end.Text(fieldOutcome))
	}
	return "not recorded: the records of the request break off before its end" + a.seenOfServers()
}
