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
		return t.resume(found.(*entry), digest)
	}
	return t.admit(identity{key, id}, digest, created, now)
}

// admit adds a record for a request that the table does not know.
func (t *Table) admit(id identity, digest uint64, created, now time.Time) Decision {
	if p := t.tooOld(id.id, created, now); p != nil {
		return refuse(p)
	}
	if t.count.Add(1) > int64(t.options.MaxRecords) {
		t.count.Add(-1)
		return refuse(problem.New(problem.KindRecordsFull, outcome.StageQueued,
			"the shard keeps %d request records, which is the limit", t.options.MaxRecords))
	}
	e := newEntry(id, digest, created)
	first := e.phase.Load().run
	if found, loaded := t.entries.LoadOrStore(id, e); loaded {
		t.count.Add(-1)
		return t.resume(found.(*entry), digest)
	}
	t.ring.add(e)
	return t.confirm(first, created, now)
}

// confirm checks the age once more after the record was stored: an entry of the
// same request may have been added, run and expired between the first check and
// the store.
func (t *Table) confirm(run *Execution, created, now time.Time) Decision {
	p := t.tooOld(run.entry.identity.id, created, now)
	if p == nil {
		return Decision{Action: ActionRun, Execution: run}
	}
	t.Conclude(run, unknownRecord(run.DispatchedRecord(), p))
	return refuse(p)
}

// tooOld returns why the absence of a record proves nothing for a request
// created at that time, or nil.
func (t *Table) tooOld(id string, created, now time.Time) *problem.Problem {
	age := now.Sub(created)
	if age > t.options.Retention || created.Unix() <= t.horizon.Load() {
		return unknown(problem.KindIDExpired,
			"request %s was created %v ago, records are kept for %v", id, age, t.options.Retention)
	}
	if created.Before(t.completeSince) {
		return unknown(problem.KindRecordsLost,
			"the records of this holder go back to %s only, request %s was created before",
			t.completeSince.UTC().Format(time.RFC3339Nano), id)
	}
	return nil
}

// resume decides about a request whose record exists.
func (t *Table) resume(e *entry, digest uint64) Decision {
	if e.digest != digest {
		return refuse(problem.New(problem.KindIDReused, outcome.StageQueued,
			"request ID %s was used for another method, path, length or body", e.identity.id))
	}
	for {
		current := e.phase.Load()
		if current.record == nil {
			current.run.callers.Add(1)
			return Decision{Action: ActionJoin, Execution: current.run}
		}
		if current.record.State != NotRun {
			return ended(*current.record)
		}
		run := newRun(e)
		if e.phase.CompareAndSwap(current, &phase{run: run}) {
			return Decision{Action: ActionRun, Execution: run}
		}
	}
}

// ended returns the decision for a request that has ended and must not run again.
func ended(r Record) Decision {
	if r.State == Answered && r.HasResponse {
		return Decision{Action: ActionReplay, Response: r.answer()}
	}
	if r.State == Answered {
		return refuse(unknown(problem.KindAnswerNotKept,
			"request %s was answered by server %s, the answer was not kept", r.ID, r.Server))
	}
	return refuse(unknown(problem.Kind(r.ProblemKind), "%s", r.ProblemMessage))
}

func refuse(p *problem.Problem) Decision {
	return Decision{Action: ActionRefuse, Problem: p}
}

// unknown returns a problem of a request that may have run.
func unknown(kind problem.Kind, format string, args ...any) *problem.Problem {
	return problem.New(kind, outcome.StageQueued, format, args...).WithOutcome(outcome.Unknown)
}
