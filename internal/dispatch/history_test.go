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
	// A and B choose the request, holder or instance, modulo how many there are.
	A, B int
	// Pause is the time before the step.
	Pause time.Duration
}

// history is a sequence of steps and what the server does with each request it gets.
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

// deliveryResult is how one delivery of a request ended.
type deliveryResult struct {
	id      string
	outcome outcome.Outcome
}

// historyRunner plays one history.
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

// run returns what the run log of the server contradicts, or "".
func (h history) run(noTokenCheck, noCompleteSince bool) string {
	p := &historyRunner{firstTenure: noCompleteSince}
	var script []behaviour
	for _, b := range h.Behaviours {
		script = append(script, historyBehaviours[b])
	}
	p.server = newFakeServer("bosho-01", newRunLog(), respondAfter(time.Millisecond), script...)
	p.env = newTestEnv(true, 3, Limits{}, p.server)
	p.env.network.ignoreTokens = noTokenCheck
	p.env.network.delays = h.CopyDelays
	for _, fault := range h.Proposals {
		p.env.witnesses.faults = append(p.env.witnesses.faults, proposalFault(fault))
	}
	p.holders = []*testHolder{p.env.holder}
	for i := range historyInstances {
		p.instances = append(p.instances, instance(i))
	}
	p.env.network.add(instance(4))
	for range historyRequests {
		p.requests = append(p.requests, newRequest(false))
	}
	for _, s := range h.Steps {
		time.Sleep(s.Pause)
		p.apply(s)
	}
	p.sends.Wait()
	time.Sleep(10 * time.Second)
	synctest.Wait()
	for _, held := range p.holders {
		held.close()
	}
	time.Sleep(10 * time.Second)
	p.env.network.close()
	return p.contradiction()
}

func (p *historyRunner) apply(s historyStep) {
	name := s.A % historyInstances
	switch s.Kind {
	case "send":
		p.send(p.holders[s.B%len(p.holders)], p.requests[s.A%historyRequests])
	case "takeover":
		p.takeover(name)
	case "lose":
		p.env.network.setUnreachable(p.instances[name], true)
	case "return":
		p.env.network.setUnreachable(p.instances[name], false)
	case "candidates":
		p.holders[s.B%len(p.holders)].keeper.SetCandidates([]authority.Instance{p.instances[name], p.instances[(name+1+s.B%3)%historyInstances]})
	case "restart":
		p.instances[name].Incarnation += "r"
		p.env.network.add(p.instances[name])
	}
}

func (p *historyRunner) send(h *testHolder, r *request.Request) {
	again := resend(r)
	p.sends.Go(func() {
		_, err := h.handle(context.Background(), again)
		c := deliveryResult{id: r.ID, outcome: outcome.Answered}
		if err != nil {
			c.outcome = problem.From(err).Outcome
		}
		p.mu.Lock()
		defer p.mu.Unlock()
		p.results = append(p.results, c)
	})
}

func (p *historyRunner) takeover(self int) {
	token := authority.Token{Epoch: 1, Ballot: p.env.witnesses.ballot() + 1}
	p.env.witnesses.promise(token)
	var candidates []authority.Instance
	for i, name := range p.instances {
		if i != self {
			candidates = append(candidates, name)
		}
	}
	p.holders = append(p.holders, newHolder(holderOptions{
		self: p.instances[self], token: token, network: p.env.network, witnesses: p.env.witnesses,
		candidates: candidates, keyed: true, slots: 3, servers: []*fakeServer{p.server}, firstTenure: p.firstTenure,
	}))
}

func (p *historyRunner) contradiction() string {
	for _, r := range p.requests {
		runs := p.server.log.count(r.ID)
		if runs > 1 {
			return fmt.Sprintf("request %s ran %d times", r.ID, runs)
		}
		answered, notRun, total := 0, 0, 0
		for _, c := range p.results {
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
			return fmt.Sprintf("request %s ran although each delivery ended not run", r.ID)
		}
	}
	return ""
}

// Guards against a second run, and against a false "not run", in any order of
// holder changes, lost and restarted mirrors, late copies and resends to old and
// new holders. Every old holder is convinced of its tenure throughout.
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

// Guards against a history test that cannot fail: with a guard taken out, some
// of the same histories must run a request twice.
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
				t.Error("no history noticed the missing guard")
			}
		})
	}
}
