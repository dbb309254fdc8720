package holder

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"peridotmoor.org/peridotmoor/internal/link"
)

// Guards against a weak machine that becomes the holder of a fleet with strong
// ones because it has seen the key lapse a little earlier, and against a fleet of
// equal machines that waits for nobody.
func TestStrongestMachineStandsFirst(t *testing.T) {
	is := is.New(t)
	const dial = 400 * time.Millisecond // a strong machine may be busy with a connection to the silent holder
	weak := candidacyDelay(0.16, 0.8, maxElectionDelay, time.Nanosecond)
	strong := candidacyDelay(0.8, 0.8, maxElectionDelay, electionJitter)
	is.True(weak > strong+dial)
	is.True(candidacyDelay(0.32, 0.32, maxElectionDelay, electionJitter) < electionJitter)
	is.True(candidacyDelay(0.32, 0, maxElectionDelayUnknownShares, electionJitter) < maxElectionDelayUnknownShares+electionJitter)
}

// Guards against a weak machine that stays the holder though a strong one
// follows, and against weak ones that yield in turn to one that cannot take over.
func TestWeakHolderYieldsOnce(t *testing.T) {
	cases := []struct {
		name       string
		follower   float64
		yieldsFrom time.Duration
		contact    time.Duration
		yields     bool
	}{
		{"stronger follower", 0.8, 0, 0, true},
		{"equal followers", 0.16, 0, 0, false},
		{"followers still join, or the last holder has yielded", 0.8, time.Second, 0, false},
		{"store not reached", 0.8, 0, leaseTTL, false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			now := time.Unix(1000, 0)
			contact := now.Add(-c.contact)
			a := &Coordinator{processorShare: 0.16, yieldAllowedAt: now.Add(c.yieldsFrom), followers: map[*link.Follower]bool{
				{Member: link.Member{ProcessorShare: c.follower}}: true,
			}}
			a.leaseConfirmedAt.Store(&contact)
			a.considerYield(now)
			is.Equal(a.yielding.Load(), c.yields)
		})
	}
}
