package record

import (
	"fmt"
	"maps"

	"peridotmoor.org/peridotmoor/internal/outcome"
	"peridotmoor.org/peridotmoor/internal/problem"
	"peridotmoor.org/peridotmoor/internal/request"
)

// Conclude ends a run with its record and wakes everyone who joined it. Only
// the first conclusion of a run counts.
func (t *Table) Conclude(run *Execution, r Record) Record {
	e := run.entry
	r = t.accountResponse(e, r)
	current := e.state.Load()
	if current.execution != run || current.record != nil {
		return r
	}
	if !e.state.CompareAndSwap(current, &entryState{execution: run, record: &r}) {
		return r
	}
	run.record = &r
	close(run.done)
	return r
}

// accountResponse drops the answer of r when the kept answers take too much memory, or
// when the entry has left the table.
func (t *Table) accountResponse(e *entry, r Record) Record {
	size := int64(len(r.Body))
	if size == 0 {
		return r
	}
	if t.responseBytes.Add(size) <= t.options.MaxTotalResponseBytes && e.responseBytes.CompareAndSwap(0, size) {
		return r
	}
	t.responseBytes.Add(-size)
	r.HasResponse = false
	r.Status, r.Header, r.Body = 0, nil, nil
	return r
}

// Outcome returns how a concluded run ended: the kept answer or the problem.
func (r *Execution) Outcome() (*request.Answer, *problem.Problem) {
	if r.record.State == NotRun {
		return nil, problem.New(problem.Kind(r.record.ProblemKind), outcome.StageQueued, "%s", r.record.ProblemMessage)
	}
	decision := decideEnded(*r.record)
	return decision.Response, decision.Problem
}

// AnsweredRecord returns the record of a run that was answered. body is nil when
// the answer is too large to keep.
func AnsweredRecord(run *Execution, a *request.Answer, body []byte, kept bool) Record {
	r := run.DispatchedRecord()
	r.State = Answered
	r.Server = a.Server
	if !kept {
		return r
	}
	r.HasResponse = true
	// The receiver of the answer may change its header.
	r.Status, r.Header, r.Body = a.Status, maps.Clone(a.Header), body
	return r
}

// FailedRecord returns the record of a run that ended with a problem.
func FailedRecord(run *Execution, server string, p *problem.Problem) Record {
	r := run.DispatchedRecord()
	r.Server = server
	if p.Outcome == outcome.NotRun {
		r.State = NotRun
		r.ProblemKind, r.ProblemMessage = string(p.Kind), p.Message
		return r
	}
	return unknownRecord(r, p)
}

func unknownRecord(r Record, p *problem.Problem) Record {
	r.State = Unknown
	r.ProblemKind, r.ProblemMessage = string(p.Kind), p.Message
	return r
}

func holderLostRecord(r Record) Record {
	r.State = Unknown
	r.ProblemKind = string(problem.KindHolderLost)
	r.ProblemMessage = fmt.Sprintf("the holder that dispatched request %s was lost before its answer", r.ID)
	return r
}
