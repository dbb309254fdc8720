package shard

import (
	"errors"
	"flag"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"pgregory.net/rapid"
)

// cutHistories is how many histories TestCutOffDomainLeavesOneOwner draws. One takes 2 s with
// the race detector beside other load.
var cutHistories = flag.Int("cut-histories", 30, "number of histories with failure domains that are cut off")

// errLostMessage is what a sender sees of a message that is lost in a cut.
var errLostMessage = errors.New("no answer")

// domainCut is a failure domain that is cut off from the others. The zero value cuts off none.
type domainCut struct {
	domain string
	// outbound and inbound lose the messages that leave and enter the domain.
	outbound, inbound bool
	// resets makes a sender see a lost message at once, as a refused connection.
	resets bool
	// store cuts the domain off from the store as well.
	store bool
}

func (c domainCut) passes(from, to string) bool {
	switch {
	case from == to || c.domain == "":
		return true
	case from == c.domain:
		return !c.outbound
	case to == c.domain:
		return !c.inbound
	}
	return true
}

// cutEvent is one event of a history of cuts.
type cutEvent struct {
	delay time.Duration
	kind  string
	cut   domainCut
	// ofHolder cuts off the domain of the holder, whatever cut names.
	ofHolder bool
	length   time.Duration
	instance int
	server   int
	// slowdown is the time that a message between instances takes from now on.
	slowdown time.Duration
}

func drawCuts(t *rapid.T) []cutEvent {
	events := make([]cutEvent, rapid.IntRange(1, 8).Draw(t, "events"))
	for i := range events {
		events[i] = cutEvent{
			delay: time.Duration(rapid.IntRange(0, 4000).Draw(t, "after")) * time.Millisecond,
			kind:  rapid.SampledFrom([]string{"cut", "cut", "heal", "restart", "hand-over", "leave", "crash", "return", "slow", "domain-out"}).Draw(t, "kind"),
			cut: domainCut{
				domain: fmt.Sprintf("d%d", rapid.IntRange(0, 2).Draw(t, "domain")),
				resets: rapid.Bool().Draw(t, "resets"), store: rapid.Bool().Draw(t, "store"),
			},
			ofHolder: rapid.Bool().Draw(t, "of the holder"),
			length:   time.Duration(rapid.SampledFrom([]int{3, 8, 16, 25}).Draw(t, "seconds")) * time.Second,
			instance: rapid.IntRange(0, 5).Draw(t, "instance"),
			server:   rapid.IntRange(0, 8).Draw(t, "server"),
			slowdown: time.Duration(rapid.IntRange(1, 250).Draw(t, "ms")) * time.Millisecond,
		}
		direction := rapid.IntRange(0, 2).Draw(t, "direction")
		events[i].cut.outbound, events[i].cut.inbound = direction != 0, direction != 1
	}
	return events
}

// Guards against a key with two owners, or without one for good, after a failure domain was cut
// off from the others: silently, with resets or in one direction, with or without the store,
// beside restarts, hand-overs and changes of the witnesses.
func TestCutOffDomainLeavesOneOwner(t *testing.T) {
	for seed := range *cutHistories {
		history := rapid.Custom(drawCuts).Example(seed)
		var found []string
		synctest.Test(t, func(t *testing.T) { found = runCuts(t, history) })
		for _, text := range found {
			t.Errorf("seed %d: %s", seed, text)
		}
	}
}

func runCuts(t *testing.T, history []cutEvent) []string {
	c := newElectedCluster(t, 6)
	time.Sleep(5 * time.Second)
	c.checkServed("at the start")
	for _, event := range history {
		time.Sleep(event.delay)
		c.apply(event)
	}
	time.Sleep(5 * time.Second)
	c.endFaults()
	time.Sleep(time.Minute) // as in the histories of package authority
	c.checkServed("60 s after the last fault")
	c.stopAll()
	return c.violations
}
