package record

import (
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"
	"peridotmoor.org/peridotmoor/internal/outcome"
	"peridotmoor.org/peridotmoor/internal/problem"
	"peridotmoor.org/peridotmoor/internal/request"
	"pgregory.net/rapid"
)

// referenceTable is the reference model of Table: a map under a mutex that scans all records.
type referenceTable struct {
	mu      sync.Mutex
	o       Options
	since   time.Time
	newest  time.Time
	records map[identity]*referenceRecord
}

type referenceRecord struct {
	created     time.Time
	digest      uint64
	running     bool
	state       State
	hasResponse bool
}

// begin returns the action and, for a refusal, its kind and outcome.
func (m *referenceTable) begin(id identity, created time.Time, digest uint64, now time.Time) (Action, problem.Kind, outcome.Outcome) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if created.After(now.Add(m.o.MaxClockSkew)) {
		return ActionRefuse, problem.KindIDAhead, outcome.NotRun
	}
	m.expire(now)
	r, ok := m.records[id]
	if !ok {
		return m.add(id, created, digest, now)
	}
	switch {
	case r.digest != digest:
		return ActionRefuse, problem.KindIDReused, outcome.NotRun
	case r.running:
		return ActionJoin, "", ""
	case r.state == NotRun:
		r.running = true
		return ActionRun, "", ""
	case r.state == Answered && r.hasResponse:
		return ActionReplay, "", ""
	case r.state == Answered:
		return ActionRefuse, problem.KindAnswerNotKept, outcome.Unknown
	default:
		return ActionRefuse, problem.KindAnswerLost, outcome.Unknown
	}
}

func (m *referenceTable) add(id identity, created time.Time, digest uint64, now time.Time) (Action, problem.Kind, outcome.Outcome) {
	switch {
	case now.Sub(created) > m.o.Retention || !m.isRetained(created):
		return ActionRefuse, problem.KindIDExpired, outcome.Unknown
	case created.Before(m.since):
		return ActionRefuse, problem.KindRecordsLost, outcome.Unknown
	case len(m.records) >= m.o.MaxRecords:
		return ActionRefuse, problem.KindRecordsFull, outcome.NotRun
	}
	m.records[id] = &referenceRecord{created: created, digest: digest, running: true}
	return ActionRun, "", ""
}

// isRetained reports whether a record created then has not expired at the latest time seen so far.
func (m *referenceTable) isRetained(created time.Time) bool {
	return created.Unix() > m.newest.Add(-m.o.Retention).Unix()-1
}

func (m *referenceTable) expire(now time.Time) {
	if now.After(m.newest) {
		m.newest = now
	}
	for id, r := range m.records {
		if !m.isRetained(r.created) {
			delete(m.records, id)
		}
	}
}

// Guards against any difference between the table and the reference model in sequences
// of begins, conclusions and clock steps in both directions.
func TestTableDifferential(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		o := Options{Retention: 10 * time.Second, MaxClockSkew: 2 * time.Second, MaxRecords: 5, MaxTotalResponseBytes: 1 << 20}
		now := time.Unix(1_700_000_000, 0)
		since := now.Add(time.Duration(rapid.IntRange(-20, 4).Draw(rt, "since")) * time.Second)
		table := NewTable(o, nil, since)
		reference := &referenceTable{o: o, since: since, newest: now, records: map[identity]*referenceRecord{}}
		table.Expire(now)
		executions := map[identity]*Execution{}
		for range rapid.IntRange(1, 60).Draw(rt, "steps") {
			if rapid.IntRange(0, 3).Draw(rt, "clock") == 0 {
				now = now.Add(time.Duration(rapid.IntRange(-1500, 6000).Draw(rt, "ms")) * time.Millisecond)
			}
			if len(executions) > 0 && rapid.Bool().Draw(rt, "conclude") {
				concludeOne(rt, table, reference, executions)
				continue
			}
			beginOne(rt, table, reference, executions, now)
		}
		if table.Len() != len(reference.records) {
			rt.Fatalf("table has %d records, reference %d", table.Len(), len(reference.records))
		}
	})
}

func beginOne(rt *rapid.T, table *Table, reference *referenceTable, executions map[identity]*Execution, now time.Time) {
	age := rapid.IntRange(-4, 14).Draw(rt, "age")
	created := now.Add(-time.Duration(age) * time.Second).Truncate(time.Second)
	id := testID(created, uint32(rapid.IntRange(0, 1).Draw(rt, "sequence")))
	digest := rapid.Uint64Range(0, 9).Draw(rt, "digest") / 9
	action, kind, out := reference.begin(identity{"k", id}, created, digest, now)
	got := table.Begin("k", id, digest, now)
	if got.Action != action {
		rt.Fatalf("begin %s at %v: action %v, reference %v %s", id, now, got.Action, action, kind)
	}
	if got.Action == ActionRun {
		executions[identity{"k", id}] = got.Execution
	}
	if got.Problem != nil && (got.Problem.Kind != kind || got.Problem.Outcome != out) {
		rt.Fatalf("refusal %s %s, reference %s %s", got.Problem.Kind, got.Problem.Outcome, kind, out)
	}
}

func concludeOne(rt *rapid.T, table *Table, reference *referenceTable, executions map[identity]*Execution) {
	var ids []identity
	for id := range executions {
		ids = append(ids, id)
	}
	slices.SortFunc(ids, func(a, b identity) int { return strings.Compare(a.id, b.id) })
	id := ids[rapid.IntRange(0, len(ids)-1).Draw(rt, "run")%len(ids)]
	execution := executions[id]
	delete(executions, id)
	r, known := reference.records[id]
	if known {
		r.running = false
	} else {
		r = &referenceRecord{}
	}
	switch rapid.IntRange(0, 3).Draw(rt, "end") {
	case 0:
		r.state, r.hasResponse = Answered, true
		table.Conclude(execution, AnsweredRecord(execution, &request.Response{Status: 200}, []byte("body"), true))
	case 1:
		r.state, r.hasResponse = Answered, false
		table.Conclude(execution, AnsweredRecord(execution, &request.Response{Status: 200}, nil, false))
	case 2:
		r.state = Unknown
		table.Conclude(execution, FailedRecord(execution, "s", problem.New(problem.KindAnswerLost, outcome.StageWritten, "reset")))
	case 3:
		r.state = NotRun
		table.Conclude(execution, FailedRecord(execution, "s", problem.New(problem.KindShed, outcome.StageQueued, "shed")))
	}
}

// Guards against two executions of one request when many resends arrive at once.
func TestOneRunAmongConcurrentResends(t *testing.T) {
	is := is.New(t)
	table := NewTable(Options{}, nil, time.UnixMilli(1))
	for round := range 200 {
		id := testID(time.Now(), uint32(round))
		var runs, joins atomic.Int64
		var wg sync.WaitGroup
		for range 8 {
			wg.Go(func() {
				decision := table.Begin("k", id, 1, time.Now())
				if decision.Action == ActionRun {
					runs.Add(1)
					table.Conclude(decision.Execution, AnsweredRecord(decision.Execution, &request.Response{Status: 201}, []byte("x"), true))
					return
				}
				if decision.Action == ActionJoin {
					<-decision.Execution.Done()
					response, p := decision.Execution.Outcome()
					if p != nil || response.Status != 201 {
						t.Error("a joined resend did not get the response")
					}
				}
				joins.Add(1)
			})
		}
		wg.Wait()
		is.Equal(runs.Load(), int64(1))
		is.Equal(joins.Load(), int64(7))
	}
}

// Guards against recorded responses that still count after their records have expired,
// or that exceed MaxTotalResponseBytes.
func TestKeptAnswersAreBounded(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1_700_000_000, 0)
	table := NewTable(Options{MaxTotalResponseBytes: 1000}, nil, time.UnixMilli(1))
	for i := range 5 {
		execution := table.Begin("k", testID(now, uint32(i)), 1, now).Execution
		table.Conclude(execution, AnsweredRecord(execution, &request.Response{}, make([]byte, 300), true))
	}
	is.Equal(table.responseBytes.Load(), int64(900))
	is.Equal(table.Begin("k", testID(now, 0), 1, now).Action, ActionReplay)
	is.Equal(table.Begin("k", testID(now, 4), 1, now).Problem.Kind, problem.KindAnswerNotKept)
	late := table.Begin("k", testID(now, 9), 1, now).Execution
	table.Expire(now.Add(time.Hour))
	table.Conclude(late, AnsweredRecord(late, &request.Response{}, make([]byte, 300), true))
	is.Equal(table.responseBytes.Load(), int64(0))
	is.Equal(table.Len(), 0)
}
