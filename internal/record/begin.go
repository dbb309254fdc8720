package record

import (
	"time"

	"peridotmoor.org/peridotmoor/internal/outcome"
	"peridotmoor.org/peridotmoor/internal/problem"
)

// Begin decides what to do with a non-idempotent request that has arrived.
func (t *Table) Begin(key, id string, digest uint64, now time.Time) Decision {
	created, err := CreatedAt(id)
	if err != nil {
		return refuse(problem.Wrap(err, problem.KindBadID, outcome.StageQueued, "the request cannot be recorded"))
	}
	if created.After(now.Add(t.options.MaxClockSkew)) {
		return refuse(problem.New(problem.KindIDAhead, outcome.StageQueued,
			"request %s was created %v ahead of this clock, the limit is %v", id, created.Sub(now), t.options.MaxClockSkew))
	}
	t.Expire(now)
	if found, ok := t.entries.Load(identity{key, id}); ok {
		return t.decideKnown(found.(*entry), digest)
	}
	return t.insert(identity{key, id}, digest, created, now)
}

// insert adds a record for a request that the table does not have.
func (t *Table) insert(id identity, digest uint64, created, now time.Time) Decision {
	if p := t.ageProblem(id.id, created, now); p != nil {
		return refuse(p)
	}
	if t.count.Add(1) > int64(t.options.MaxRecords) {
		t.count.Add(-1)
		return refuse(problem.New(problem.KindRecordsFull, outcome.StageQueued,
			"the shard keeps %d request records, which is the limit", t.options.MaxRecords))
	}
	e := newEntry(id, digest, created)
	first := e.state.Load().execution
	if found, loaded := t.entries.LoadOrStore(id, e); loaded {
		t.count.Add(-1)
		return t.decideKnown(found.(*entry), digest)
	}
	t.buckets.add(e)
	return t.recheckAge(first, created, now)
}

// recheckAge checks the age once more after the record was stored: an entry of the
// same request may have been added, run and expired between the first check and
// the insertion.
func (t *Table) recheckAge(execution *Execution, created, now time.Time) Decision {
	p := t.ageProblem(execution.entry.identity.id, created, now)
	if p == nil {
		return Decision{Action: ActionRun, Execution: execution}
	}
	t.Conclude(execution, unknownRecord(execution.DispatchedRecord(), p))
	return refuse(p)
}

// ageProblem returns a problem when a missing record does not prove that a request
// created at that time has not run: its record may have expired, or have been lost
// at a takeover. Otherwise it returns nil.
func (t *Table) ageProblem(id string, created, now time.Time) *problem.Problem {
	age := now.Sub(created)
	if age > t.options.Retention || created.Unix() <= t.expiredThrough.Load() {
		return unknownOutcome(problem.KindIDExpired,
			"request %s was created %v ago, records are kept for %v", id, age, t.options.Retention)
	}
	if since := t.CompleteSince(); created.Before(since) {
		return unknownOutcome(problem.KindRecordsLost,
			"the records of this holder go back to %s only, request %s was created before",
			since.UTC().Format(time.RFC3339Nano), id)
	}
	return nil
}

// decideKnown decides about a request that has a record. It starts a new execution
// when the earlier one is proven not to have run.
func (t *Table) decideKnown(e *entry, digest uint64) Decision {
	if e.digest != digest {
		return refuse(problem.New(problem.KindIDReused, outcome.StageQueued,
			"request ID %s was used for another method, path, length or body", e.identity.id))
	}
	for {
		current := e.state.Load()
		if current.record == nil {
			current.execution.callers.Add(1)
			return Decision{Action: ActionJoin, Execution: current.execution}
		}
		if current.record.State != NotRun {
			return decideEnded(*current.record)
		}
		execution := newExecution(e, current.record.Execution+1)
		if e.state.CompareAndSwap(current, &entryState{execution: execution}) {
			return Decision{Action: ActionRun, Execution: execution}
		}
	}
}

// decideEnded returns the decision for a request that has ended and must not run again.
func decideEnded(r Record) Decision {
	if r.State == Answered && r.HasResponse {
		return Decision{Action: ActionReplay, Response: r.response()}
	}
	if r.State == Answered {
		return refuse(unknownOutcome(problem.KindAnswerNotKept,
			"request %s was answered by server %s, the answer was not kept", r.ID, r.Server))
	}
	return refuse(unknownOutcome(problem.Kind(r.ProblemKind), "%s", r.ProblemMessage))
}

func refuse(p *problem.Problem) Decision {
	return Decision{Action: ActionRefuse, Problem: p}
}

// unknownOutcome returns a problem for a request that may have run.
func unknownOutcome(kind problem.Kind, format string, args ...any) *problem.Problem {
	return problem.New(kind, outcome.StageQueued, format, args...).WithOutcome(outcome.Unknown)
}
