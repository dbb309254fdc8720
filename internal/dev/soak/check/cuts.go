package check

import (
	"fmt"
	"net/http"
	"time"

	"peridotmoor.org/peridotmoor/internal/dev/runlog"
	"peridotmoor.org/peridotmoor/internal/dev/soak/caller"
)

// checkCuts finds requests that an instance passed on to a sound backend server and cut
// off. In a planned stop there must be none, otherwise no more than a few.
func checkCuts(e *Evidence) []Violation {
	var found []Violation
	outside := map[string][]string{}
	firstCut := map[int64]*caller.Attempt{}
	for _, a := range e.Attempts {
		run, cut := e.cutRun(a)
		if !cut {
			continue
		}
		head := firstCut[a.Connection]
		if head == nil {
			firstCut[a.Connection] = a
		}
		p := e.process(a)
		if e.excusesCut(a, run) || head != nil && e.waitedFor(head, run, p) {
			continue
		}
		if !p.StoppedAt.IsZero() && a.EndedAt.After(p.StoppedAt) && a.EndedAt.Before(p.StoppedAt.Add(stopWindow)) {
			found = append(found, Violation{"cut by stop", fmt.Sprintf("%s was sent %.3f s and cut off %.3f s after SIGTERM of %s process %d; it ran at %s from %.3f s",
				a.ID, a.StartedAt.Sub(p.StoppedAt).Seconds(), a.EndedAt.Sub(p.StoppedAt).Seconds(), p.Instance, p.Number, run.Server, run.Start.Sub(p.StoppedAt).Seconds()), []string{a.ID}})
			continue
		}
		if a.Reused && a.Result != caller.Complete {
			outside[a.Instance] = append(outside[a.Instance], a.ID)
		}
	}
	for instance, ids := range outside {
		if len(ids) > maxCut {
			found = append(found, Violation{"cut", fmt.Sprintf("%s cut off %d requests outside a planned stop", instance, len(ids)), ids})
		}
	}
	return found
}

// cutRun returns the last run of an attempt that did not get its server's answer, and
// whether there is one. An answer of the instance's own counts only while the server is at work.
func (e *Evidence) cutRun(a *caller.Attempt) (runlog.Execution, bool) {
	runs := e.runs[a.ID]
	if len(runs) == 0 {
		return runlog.Execution{}, false
	}
	last := runs[len(runs)-1]
	switch {
	case a.Result == caller.Cut:
		return last, true
	case a.Result == caller.Complete && a.Stamp == "" && (a.Status == http.StatusBadGateway || a.Status == http.StatusGatewayTimeout):
		return last, !last.Answered
	}
	return last, false
}

// excusesCut reports whether the platform's pages allow the end of the attempt: its time
// was up, its server or its instance was impaired, a request sent early in a planned
// stop was still at work in the last part of the grace period, or the store was impaired
// and the request has a key.
func (e *Evidence) excusesCut(a *caller.Attempt, run runlog.Execution) bool {
	if a.EndedAt.Sub(a.StartedAt) >= min(a.Timeout, a.Route.Timeout)-timeoutMargin {
		return true
	}
	from := a.StartedAt.Add(-stableWindow)
	if e.Impairments.any(run.Server, from, a.EndedAt) || e.Impairments.any(a.Instance, from, a.EndedAt) {
		return true
	}
	if a.Route.Keyed && e.Impairments.any(Store, from, a.EndedAt) {
		return true
	}
	p := e.process(a)
	if p.StoppedAt.IsZero() {
		return false
	}
	return !a.StartedAt.After(p.StoppedAt.Add(lateStart)) && endsAfter(run, p.StoppedAt.Add(GracePeriod-lastPart))
}

func endsAfter(run runlog.Execution, at time.Time) bool {
	return run.End.IsZero() || run.End.After(at)
}

// waitedFor reports whether the answer of a pipelined request could not be given because
// the cut-off request ahead of it, whose own end is excused, was not answered. Responses
// are returned in the order of the requests. It holds only for a request that was passed
// on before the planned stop: a stopping instance need not start one that has to wait.
func (e *Evidence) waitedFor(head *caller.Attempt, run runlog.Execution, p *Process) bool {
	ahead, cut := e.cutRun(head)
	return cut && e.excusesCut(head, ahead) && run.Start.Before(p.StoppedAt)
}
