package placing

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	"peridotmoor.org/peridotmoor/internal/fleet"
)

// pauseTest is a scheduler of one service with two servers of one slot each.
type pauseTest struct {
	sched  *Scheduler
	now    time.Time
	number uint64
}

func newPauseTest(keyed bool) *pauseTest {
	p := &pauseTest{now: time.Unix(1_700_000_000, 0)}
	p.sched = New(RetryBudget{Window: 10 * time.Second, Ratio: 0.2, Extra: 20}, &soleOwner{name: "a"}, rand.New(rand.NewPCG(1, 2)))
	servers := []fleet.Server{
		{Incarnation: fleet.Incarnation{Name: "a", StartMS: 1}, Service: "s", Slots: 1},
		{Incarnation: fleet.Incarnation{Name: "b", StartMS: 1}, Service: "s", Slots: 1},
	}
	p.sched.Update(p.now, map[string]*fleet.Service{"s": {Name: "s", Keyed: keyed}}, servers, func(*fleet.Server) bool { return false })
	return p
}

// submit submits an attempt of the instance that has a second, and returns its ID.
func (p *pauseTest) submit(instance string, key int) AttemptID {
	p.number++
	id := AttemptID{Instance: instance, Number: p.number}
	p.sched.Submit(p.now, Attempt{AttemptID: id, Service: "s", Key: key, SoftDeadline: p.now.Add(600 * time.Millisecond), Deadline: p.now.Add(time.Second)})
	return id
}

// pause makes the servers ask an instance for a pause.
func (p *pauseTest) pause(instance string, length time.Duration, servers ...string) {
	for _, name := range servers {
		p.sched.Pause(fleet.Incarnation{Name: name, StartMS: 1}, instance, p.now.Add(length))
	}
}

// decisions returns the server or the reason of each attempt decided since the last call.
func (p *pauseTest) decisions() map[AttemptID]string {
	out := map[AttemptID]string{}
	for _, d := range p.sched.TakeDecisions() {
		out[d.AttemptID] = d.Server
		if d.Server == "" {
			out[d.AttemptID] = d.Reason.String()
		}
	}
	return out
}

// Guards against requests of an instance at a server that has asked it for a pause, and
// against a pause that holds for other instances or incarnations too.
func TestPausedInstanceGetsOtherServers(t *testing.T) {
	is := is.New(t)
	p := newPauseTest(false)
	p.pause("i", time.Second, "a")
	p.sched.Pause(fleet.Incarnation{Name: "b", StartMS: 7}, "i", p.now.Add(time.Hour)) // an earlier incarnation
	first := p.submit("i", NoKey)
	other := p.submit("j", NoKey)
	got := p.decisions()
	is.Equal(got[first], "b")
	is.Equal(got[other], "a")
}

// Guards against requests that wait although all servers pause their instance for longer
// than they can wait, and against a suggested retry within the pause.
func TestRequestsOfAPausedInstanceAreRefusedAtOnce(t *testing.T) {
	for name, key := range map[string]int{"keyed": 5, "not keyed": NoKey} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			p := newPauseTest(key != NoKey)
			p.pause("i", 1500*time.Millisecond, "a", "b")
			p.submit("i", key)
			got := p.sched.TakeDecisions()
			is.Equal(len(got), 1)
			is.Equal(got[0].Reason, ReasonPaused)
			is.True(got[0].RetryAfter >= 1500*time.Millisecond)
		})
	}
}

// Guards against requests of a paused instance that hold up those of other instances
// behind them, and against ones that are not sent after a short pause.
func TestShortPauseIsWaitedForWithoutHoldingUpOthers(t *testing.T) {
	for name, key := range map[string]int{"keyed": 5, "not keyed": NoKey} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			p := newPauseTest(key != NoKey)
			p.pause("i", 200*time.Millisecond, "a", "b")
			waiting := p.submit("i", key)
			is.Equal(len(p.decisions()), 0)
			other := p.submit("j", key)
			is.True(p.decisions()[other] != "") // at once, although the first one waits
			p.now = p.now.Add(100 * time.Millisecond)
			p.sched.Complete(p.now, Completion{AttemptID: other, Server: "a", Outcome: Answered, Duration: 100 * time.Millisecond})
			p.sched.Complete(p.now, Completion{AttemptID: other, Server: "b", Outcome: Answered, Duration: 100 * time.Millisecond})
			p.sched.Tick(p.now)
			is.Equal(len(p.decisions()), 0) // still paused
			p.now = p.now.Add(101 * time.Millisecond)
			p.sched.Tick(p.now)
			got := p.decisions()[waiting]
			is.True(got == "a" || got == "b")
		})
	}
}
