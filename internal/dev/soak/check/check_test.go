package check

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"peridotmoor.org/peridotmoor/internal/dev/runlog"
	"peridotmoor.org/peridotmoor/internal/dev/soak/backend"
	"peridotmoor.org/peridotmoor/internal/dev/soak/caller"
)

var base = time.Now()

func at(seconds float64) time.Time {
	return base.Add(time.Duration(seconds * float64(time.Second)))
}

var (
	readRoute  = &caller.Route{Name: "reads", Idempotent: true, Timeout: 6 * time.Second}
	orderRoute = &caller.Route{Name: "orders", Timeout: 6 * time.Second}
	keyedRoute = &caller.Route{Name: "graves", Keyed: true, Timeout: 6 * time.Second}
	movedRoute = &caller.Route{Name: "moved", Idempotent: true, Timeout: 6 * time.Second}
	addedRoute = &caller.Route{Name: "added", Idempotent: true, Timeout: 6 * time.Second}
)

// attempt returns an attempt at process 1 of entry-0, of which the connection was cut.
func attempt(id string, route *caller.Route, sent, ended float64) *caller.Attempt {
	return &caller.Attempt{ID: id, Request: id, Route: route, Instance: "entry-0", Process: 1, Reused: true, Timeout: 8 * time.Second,
		StartedAt: at(sent), SentAt: at(sent), EndedAt: at(ended), Result: caller.Cut}
}

// answered returns an attempt that got status and stamp.
func answered(id string, route *caller.Route, sent, ended float64, status int, stamp string) *caller.Attempt {
	a := attempt(id, route, sent, ended)
	a.Result, a.Status, a.Stamp = caller.Complete, status, stamp
	return a
}

func run(id, server, service string, start, end float64) runlog.Execution {
	return runlog.Execution{RequestID: id, Server: server, Service: service, Start: at(start), End: at(end), Cancelled: true}
}

// evidence returns evidence with one process that is stopped at 10 s and ends at 15.7 s.
func evidence() *Evidence {
	return &Evidence{
		Processes:   []Process{{Instance: "entry-0", Number: 1, StartedAt: at(0), StoppedAt: at(10), EndedAt: at(15.7)}},
		Versions:    []Version{{1, at(-1), "a"}, {2, at(5), "b"}},
		Impairments: NewImpairments(), MovedRoute: "moved", AddedIn: map[string]int{"added": 2},
	}
}

// impair records a past impairment.
func (i *Impairments) impair(subject string, from, until float64) {
	i.spans[subject] = append(i.spans[subject], &span{at(from), at(until)})
}

// Guards against checks that miss a violation, and against exceptions that are wider
// than the platform's pages allow: each case has exactly the violations named.
func TestViolations(t *testing.T) {
	cut := func(e *Evidence, route *caller.Route, sent, ended float64) {
		e.Attempts = append(e.Attempts, attempt("x", route, sent, ended))
		e.Runs = append(e.Runs, run("x", "i-1", "a", sent, ended))
	}
	moved := func(e *Evidence, id string, sent float64, service string) {
		e.Attempts = append(e.Attempts, answered(id, movedRoute, sent, sent+0.1, 200, id+"."+string(rune('0'+len(e.Runs)))))
		e.Runs = append(e.Runs, run(id, "i-1", service, sent, sent+0.1))
	}
	for name, c := range map[string]struct {
		prepare func(*Evidence)
		found   string
	}{
		"nothing": {func(*Evidence) {}, ""},
		"complete answer": {func(e *Evidence) {
			e.Attempts, e.Runs = []*caller.Attempt{answered("x", orderRoute, 1, 2, 200, "i-1.0")}, []runlog.Execution{run("x", "i-1", "a", 1, 2)}
		}, ""},
		"two attempts of an order ran": {func(e *Evidence) {
			first, second := answered("x.1", orderRoute, 1, 2, 500, "s"), answered("x.2", orderRoute, 2, 3, 200, "i-1.1")
			first.Request, second.Request = "x", "x"
			e.Attempts, e.Runs = []*caller.Attempt{first, second}, []runlog.Execution{run("x.1", "i-1", "a", 1, 2), run("x.2", "i-1", "a", 2, 3)}
		}, "ran twice"},
		"read ran twice": {func(e *Evidence) {
			e.Attempts, e.Runs = []*caller.Attempt{answered("x", readRoute, 1, 2, 200, "i-1.0")}, []runlog.Execution{run("x", "i-1", "a", 1, 2), run("x", "i-2", "a", 1, 2)}
		}, ""},
		"request of nobody":  {func(e *Evidence) { e.Runs = []runlog.Execution{run("y", "i-1", "a", 1, 2)} }, "not sent"},
		"lost evidence":      {func(e *Evidence) { e.DroppedRuns = 1 }, "evidence"},
		"true refusal":       {func(e *Evidence) { e.Attempts = []*caller.Attempt{answered("x", readRoute, 1, 2, 503, "")} }, ""},
		"refusal after run":  {func(e *Evidence) { cut(e, readRoute, 1, 2); e.Attempts[0] = answered("x", readRoute, 1, 2, 503, "") }, "false refusal"},
		"refusal before run": {func(e *Evidence) { cut(e, readRoute, 3, 4); e.Attempts[0] = answered("x", readRoute, 1, 2, 429, "") }, "false refusal"},
		"foreign stamp": {func(e *Evidence) {
			cut(e, readRoute, 1, 2)
			e.Runs = append(e.Runs, run("x", "i-2", "a", 1, 2), run("y", "i-2", "a", 1, 2))
			e.Attempts = []*caller.Attempt{answered("x", readRoute, 1, 2, 200, "i-2.2"), answered("y", readRoute, 1, 2, 200, "i-2.2")}
		}, "wrong answer"},
		"fault of an answer": {func(e *Evidence) {
			e.Attempts = []*caller.Attempt{answered("x", readRoute, 1, 2, 502, "")}
			e.Attempts[0].Fault = "f"
		}, "wrong answer"},
		"stray bytes":           {func(e *Evidence) { e.StrayBytes = []string{"s"} }, "wrong answer"},
		"behind close, not run": {func(e *Evidence) { cut(e, readRoute, 1, 2); e.Attempts[0].Result = caller.Unanswered; e.Runs = nil }, ""},
		"behind close, run":     {func(e *Evidence) { cut(e, readRoute, 1, 2); e.Attempts[0].Result = caller.Unanswered }, "ran behind close"},
		"proper requests denied": {func(e *Evidence) {
			for range maxDenied + 1 {
				e.Attempts = append(e.Attempts, answered("x", orderRoute, 1, 2, 400, ""))
			}
		}, "denied"},
		"two owners": {func(e *Evidence) {
			e.Conflicts = []backend.Conflict{{RequestID: "x", GrantsArrivedAt: [2]time.Time{at(1), at(2)}}}
			e.Impairments.impair("entry-1", 0, 0.6)
		}, "two owners"},
		"two owners after a thaw": {func(e *Evidence) {
			e.Conflicts = []backend.Conflict{{RequestID: "x", GrantsArrivedAt: [2]time.Time{at(1), at(2)}}}
			e.Impairments.impair("entry-1", 0, 0.8)
		}, ""},
		"two owners during a pause": {func(e *Evidence) {
			e.Conflicts = []backend.Conflict{{RequestID: "x", GrantsArrivedAt: [2]time.Time{at(1), at(2)}}}
			e.Impairments.impair("entry-1", 0.5, 5)
		}, "two owners"},
		"two holders of a key": {func(e *Evidence) {
			e.Conflicts = []backend.Conflict{{First: "i-1", Second: "i-2", GrantsArrivedAt: [2]time.Time{at(1), at(2)}}}
			e.Impairments.impair("i-1", 1.1, 5)
			e.Impairments.impair(Store, 0, 1)
		}, "two owners"},
		"two holders, a grant held up": {func(e *Evidence) {
			e.Conflicts = []backend.Conflict{{First: "i-1", Second: "i-2", GrantsArrivedAt: [2]time.Time{at(1), at(2)}}}
			e.Impairments.impair("i-1", 0.5, 5)
		}, ""},
		"killed at the end of the grace period": {func(e *Evidence) { e.Processes[0].KilledAt = at(16) }, "grace period"},
		"failed stop":                           {func(e *Evidence) { e.Processes[0].Failure = "exit status 2" }, "process"},
		"stopped before it handles signals":     {func(e *Evidence) { e.Processes[0].Failure = "signal: terminated" }, ""},
		"ended by itself":                       {func(e *Evidence) { e.Processes[0].StoppedAt = time.Time{} }, "process"},
		"sent late and cut":                     {func(e *Evidence) { cut(e, orderRoute, 13.1, 15.7) }, "cut by stop"},
		"sent early and at work at the end":     {func(e *Evidence) { cut(e, orderRoute, 12.9, 15.7) }, ""},
		"sent early and cut early":              {func(e *Evidence) { cut(e, orderRoute, 12.9, 14.9) }, "cut by stop"},
		"own answer while at work": {func(e *Evidence) {
			cut(e, orderRoute, 13.1, 15)
			e.Attempts[0] = answered("x", orderRoute, 13.1, 15, 502, "")
		}, "cut by stop"},
		"time is up":                  {func(e *Evidence) { cut(e, orderRoute, 8.9, 14.9) }, ""},
		"server impaired":             {func(e *Evidence) { cut(e, orderRoute, 13.1, 15.7); e.Impairments.impair("i-1", 9, 10.2) }, ""},
		"server impaired long before": {func(e *Evidence) { cut(e, orderRoute, 13.1, 15.7); e.Impairments.impair("i-1", 9, 10) }, "cut by stop"},
		"other server impaired":       {func(e *Evidence) { cut(e, orderRoute, 13.1, 15.7); e.Impairments.impair("i-2", 9, 15) }, "cut by stop"},
		"instance impaired":           {func(e *Evidence) { cut(e, orderRoute, 13.1, 15.7); e.Impairments.impair("entry-0", 11, 12) }, ""},
		"store impaired":              {func(e *Evidence) { cut(e, orderRoute, 13.1, 15.7); e.Impairments.impair(Store, 11, 12) }, "cut by stop"},
		"store impaired and keyed":    {func(e *Evidence) { cut(e, keyedRoute, 13.1, 15.7); e.Impairments.impair(Store, 11, 12) }, ""},
		"cut outside a stop, seldom":  {func(e *Evidence) { cut(e, readRoute, 1, 2) }, ""},
		"cut outside a stop, often": {func(e *Evidence) {
			for range maxCut + 1 {
				cut(e, readRoute, 1, 2)
			}
		}, "cut"},
		"pipelined behind an excused one": {func(e *Evidence) {
			cut(e, readRoute, 9.8, 15.7)
			e.Attempts = append(e.Attempts, attempt("y", readRoute, 9.8, 15.7))
			e.Runs = append(e.Runs, run("y", "i-1", "a", 9.8, 9.9))
		}, ""},
		"pipelined and started during the stop": {func(e *Evidence) {
			cut(e, readRoute, 10.1, 15.7)
			e.Attempts = append(e.Attempts, attempt("y", readRoute, 10.1, 15.7))
			e.Runs = append(e.Runs, run("y", "i-1", "a", 10.1, 10.2))
		}, "cut by stop"},
		"not served again":      {func(e *Evidence) { e.Unserved = []string{"u"} }, "recovery"},
		"old version in time":   {func(e *Evidence) { moved(e, "x", 6.9, "a") }, ""},
		"old version too late":  {func(e *Evidence) { moved(e, "x", 7.1, "a") }, "configuration"},
		"old version, impaired": {func(e *Evidence) { moved(e, "x", 7.1, "a"); e.Impairments.impair("entry-0", 4, 5) }, ""},
		"old version, no store": {func(e *Evidence) { moved(e, "x", 7.1, "a"); e.Impairments.impair(Store, 4, 5) }, ""},
		"old version, stopping": {func(e *Evidence) { moved(e, "x", 12, "a") }, ""},
		"version reverts": {func(e *Evidence) {
			moved(e, "x", 5.1, "b")
			moved(e, "y", 5.4, "a")
		}, "configuration"},
		"version reverts within the slack": {func(e *Evidence) {
			moved(e, "x", 5.1, "b")
			moved(e, "y", 5.3, "a")
		}, ""},
		"added route is missing":  {func(e *Evidence) { e.Attempts = []*caller.Attempt{answered("x", addedRoute, 7.1, 7.2, 404, "")} }, "configuration"},
		"added route is not due":  {func(e *Evidence) { e.Attempts = []*caller.Attempt{answered("x", addedRoute, 6.9, 7, 404, "")} }, ""},
		"version before its time": {func(e *Evidence) { moved(e, "x", 4, "b"); e.Versions[1].AcceptedAt = at(20) }, "configuration"},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			e := evidence()
			c.prepare(e)
			found := ""
			for _, v := range e.Violations() {
				if v.Check != found {
					found += v.Check
				}
			}
			is.Equal(found, c.found)
		})
	}
}
