package record

import (
	"fmt"
	"maps"

	"peridotmoor.org/peridotmoor/internal/outcome"
	"peridotmoor.org/peridotmoor/internal/problem"
	"peridotmoor.org/peridotmoor/internal/request"
)

// Conclude ends an execution with its record and wakes the requests that joined it.
// Only the first call for an execution has an effect.
func (t *Table) Conclude(execution *Execution, r Record) Record {
	e := execution.entry
	r = t.accountResponse(e, r)
	current := e.state.Load()
	if current.execution != execution || current.record != nil {
		return r
	}
	if !e.state.CompareAndSwap(current, &entryState{execution: execution, record: &r}) {
		return r
	}
	execution.record = &r
	close(execution.done)
	return r
}

// accountResponse removes the response from r when the recorded responses would
// exceed MaxTotalResponseBytes or the entry has left the table.
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

// Outcome returns how a concluded execution ended: the recorded response or the problem.
func (r *Execution) Outcome() (*request.Response, *problem.Problem) {
	if r.record.State == NotRun {
		return nil, problem.New(problem.Kind(r.record.ProblemKind), outcome.StageQueued, "%s", r.record.ProblemMessage)
	}
	decision := decideEnded(*r.record)
	return decision.Response, decision.Problem
}

// AnsweredRecord returns the record of an execution that was answered. withResponse is false,
// and body nil, when the response is too large to be recorded.
func AnsweredRecord(execution *Execution, response *request.Response, body []byte, withResponse bool) Record {
	r := execution.DispatchedRecord()
	r.State = Answered
	r.Server = response.Server
	if !withResponse {
		return r
	}
	r.HasResponse = true
	// Cloned, since the receiver of the response may change its header.
	r.Status, r.Header, r.Body = response.Status, maps.Clone(response.Header), body
	return r
}

// FailedRecord returns the record of an execution that ended with a problem.
func FailedRecord(execution *Execution, server string, p *problem.Problem) Record {
	r := execution.DispatchedRecord()
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
