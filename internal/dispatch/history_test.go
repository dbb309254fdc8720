package dispatch

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"peridotmoor.org/peridotmoor/internal/authority"
	"peridotmoor.org/peridotmoor/internal/outcome"
	"peridotmoor.org/peridotmoor/internal/problem"
	"peridotmoor.org/peridotmoor/internal/request"
	"pgregory.net/rapid"
)

// historyStep is one event of a history.
type historyStep struct {
	Kind string
	// A and B select the request, holder or instance, modulo their number.
	A, B int
	// Pause is the waiting time before the step.
	Pause time.Duration
}

// history is a sequence of steps, with the behaviour of the server for each request that
// it receives.
type history struct {
	Steps      []historyStep
	Behaviours []int
	// CopyDelays are the delays of the messages to mirrors, in order.
	CopyDelays []time.Duration
	// Proposals are the faults of the proposals of mirror sets, in order.
	Proposals []int
}

var historyBehaviours = []behaviour{
	respondAfter(0), respondAfter(30 * time.Millisecond), respondAfter(400 * time.Millisecond),
	resetAfterRun, resetBeforeRun, refuseConnection, shedRequest, runAfterCallerGone, truncatedBody,
}

const (
	historyInstances = 5
	historyRequests  = 4
)

func historyGenerator() *rapid.Generator[history] {
	steps := rapid.Custom(func(t *rapid.T) historyStep {
		return historyStep{
			Kind:  rapid.SampledFrom([]string{"send", "send", "send", "takeover", "lose", "return", "restart", "candidates"}).Draw(t, "kind"),
			A:     rapid.IntRange(0, 100).Draw(t, "a"),
			B:     rapid.IntRange(0, 100).Draw(t, "b"),
			Pause: time.Duration(rapid.SampledFrom([]int{0, 0, 1, 3, 20, 60, 300, 1500}).Draw(t, "pause")) * time.Millisecond,
		}
	})
	return rapid.Custom(func(t *rapid.T) history {
		return history{
			Steps:      rapid.SliceOfN(steps, 5, 40).Draw(t, "steps"),
			Behaviours: rapid.SliceOfN(rapid.IntRange(0, len(historyBehaviours)-1), 20, 20).Draw(t, "behaviours"),
			CopyDelays: rapid.SliceOfN(rapid.Map(rapid.SampledFrom([]int{1, 1, 1, 2, 10, 45, 55, 200, 900}),
				func(ms int) time.Duration { return time.Duration(ms) * time.Millisecond }), 30, 30).Draw(t, "delays"),
			Proposals: rapid.SliceOfN(rapid.SampledFrom([]int{0, 0, 0, 1, 2}), 12, 12).Draw(t, "proposals"),
		}
	})
}

// deliveryResult is the outcome of one delivery of a request.
type deliveryResult struct {
	id      string
	outcome outcome.Outcome
}

// historyRunner runs one history.
type historyRunner struct {
	env         *testEnv
	server      *fakeServer
	holders     []*testHolder
	requests    []*request.Request
	instances   []authority.Instance
	firstTenure bool
	mu          sync.Mutex
	results     []deliveryResult
	sends       sync.WaitGroup
}

// run runs the history and describes an outcome that the run log of the server
// contradicts, or returns "". The parameters disable one guard each.
func (h history) run(noTokenCheck, noCompleteSince bool) string {
	hr := &historyRunner{firstTenure: noCompleteSince}
	var script []behaviour
	for _, b := range h.Behaviours {
		script = append(script, historyBehaviours[b])
	}
	hr.server = newFakeServer("bosho-01", newRunLog(), respondAfter(time.Millisecond), script...)
	hr.env = newTestEnv(true, 3, Limits{}, hr.server)
	hr.env.network.ignoreTokens = noTokenCheck
	hr.env.network.delays = h.CopyDelays
	for _, fault := range h.Proposals {
		hr.env.witnesses.faults = append(hr.env.witnesses.faults, proposalFault(fault))
	}
	hr.holders = []*testHolder{hr.env.holder}
	for i := range historyInstances {
		hr.instances = append(hr.instances, instance(i))
	}
	hr.env.network.add(instance(4))
	for range historyRequests {
		hr.requests = append(hr.requests, newRequest(false))
	}
	for _, s := range h.Steps {
		time.Sleep(s.Pause)
		hr.apply(s)
	}
	hr.sends.Wait()
	time.Sleep(10 * time.Second)
	synctest.Wait()
	for _, holder := range hr.holders {
		holder.close()
	}
	time.Sleep(10 * time.Second)
	hr.env.network.close()
	return hr.contradiction()
}

func (hr *historyRunner) apply(s historyStep) {
	index := s.A % historyInstances
	switch s.Kind {
	case "send":
		hr.send(hr.holders[s.B%len(hr.holders)], hr.requests[s.A%historyRequests])
	case "takeover":
		hr.takeover(index)
	case "lose":
		hr.env.network.setUnreachable(hr.instances[index], true)
	case "return":
		hr.env.network.setUnreachable(hr.instances[index], false)
	case "candidates":
		hr.holders[s.B%len(hr.holders)].table.SetCandidates([]authority.Instance{hr.instances[index], hr.instances[(index+1+s.B%3)%historyInstances]})
	case "restart":
		hr.instances[index].Incarnation += "r"
		hr.env.network.add(hr.instances[index])
	}
}

func (hr *historyRunner) send(h *testHolder, r *request.Request) {
	resent := resend(r)
	hr.sends.Go(func() {
		_, err := h.handle(context.Background(), resent)
		result := deliveryResult{id: r.ID, outcome: outcome.Answered}
		if err != nil {
			result.outcome = problem.From(err).Outcome
		}
		hr.mu.Lock()
		defer hr.mu.Unlock()
		hr.results = append(hr.results, result)
	})
}

func (hr *historyRunner) takeover(self int) {
	token := authority.Token{Epoch: 1, Ballot: hr.env.witnesses.ballot() + 1}
	hr.env.witnesses.promise(token)
	var candidates []authority.Instance
	for i, name := range hr.instances {
		if i != self {
			candidates = append(candidates, name)
		}
	}
	hr.holders = append(hr.holders, newHolder(holderOptions{
		self: hr.instances[self], token: token, network: hr.env.network, witnesses: hr.env.witnesses,
		candidates: candidates, keyed: true, slots: 3, servers: []*fakeServer{hr.server}, firstTenure: hr.firstTenure,
	}))
}

// contradiction compares the outcomes of all deliveries with the run log.
func (hr *historyRunner) contradiction() string {
	for _, r := range hr.requests {
		runs := hr.server.log.count(r.ID)
		if runs > 1 {
			return fmt.Sprintf("request %s ran %d times", r.ID, runs)
		}
		answered, notRun, total := 0, 0, 0
		for _, c := range hr.results {
			if c.id != r.ID {
				continue
			}
			total++
			switch c.outcome {
			case outcome.Answered:
				answered++
			case outcome.NotRun:
				notRun++
			}
		}
		if answered > 0 && runs != 1 {
			return fmt.Sprintf("request %s was answered and ran %d times", r.ID, runs)
		}
		if notRun == total && runs != 0 {
			return fmt.Sprintf("request %s ran although every delivery ended as not run", r.ID)
		}
	}
	return ""
}

// Guards against a second run, and against a false "not run", in random sequences of
// holder changes, unreachable and restarted mirrors, late copies and resends to old and
// new holders. Old holders never notice that their tenure has ended.
func TestHistoriesRunAtMostOnce(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		h := historyGenerator().Draw(rt, "history")
		var contradiction string
		synctest.Test(t, func(*testing.T) { contradiction = h.run(false, false) })
		if contradiction != "" {
			rt.Fatal(contradiction)
		}
	})
}

// Guards against a TestHistoriesRunAtMostOnce that cannot fail: with one guard disabled,
// some histories must lead to a contradiction.
func TestHistoriesFindMissingGuards(t *testing.T) {
	cases := []struct {
		name                          string
		noTokenCheck, noCompleteSince bool
	}{
		{"mirrors do not check tokens", true, false},
		{"holders ignore complete_since", false, true},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			found := false
			for seed := 0; seed < 200 && !found; seed++ {
				h := historyGenerator().Example(seed)
				synctest.Test(t, func(*testing.T) {
					found = h.run(c.noTokenCheck, c.noCompleteSince) != ""
				})
			}
			if !found {
				t.Error("no history detected the missing guard")
			}
		})
	}
}
