package holder

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"peridotmoor.org/peridotmoor/internal/link"
)

// Guards against a weak machine that becomes the holder although there are strong
// ones, because it noticed the expired key a little earlier, and against a needless
// wait in a fleet of equal machines.
func TestStrongestMachineStandsFirst(t *testing.T) {
	is := is.New(t)
	const dial = 400 * time.Millisecond // a strong machine may still be connecting to the unreachable holder
	weak := candidacyDelay(0.16, 0.8, maxElectionDelay, time.Nanosecond)
	strong := candidacyDelay(0.8, 0.8, maxElectionDelay, electionJitter)
	is.True(weak > strong+dial)
	is.True(candidacyDelay(0.32, 0.32, maxElectionDelay, electionJitter) < electionJitter)
	is.True(candidacyDelay(0.32, 0, maxElectionDelayUnknownShares, electionJitter) < maxElectionDelayUnknownShares+electionJitter)
}

// Guards against a weak machine that stays the holder while a strong one follows it, and
// against weak machines that yield one after another to one that cannot take over.
func TestWeakHolderYieldsOnce(t *testing.T) {
	cases := []struct {
		name             string
		holder, follower float64
		yieldAllowedIn   time.Duration
		leaseAge         time.Duration
		yields           bool
	}{
		{"stronger follower", 0.16, 0.8, 0, 0, true},
		{"equal followers", 0.16, 0.16, 0, 0, false},
		{"yieldDelay or yieldCooldown not over", 0.16, 0.8, time.Second, 0, false},
		{"lease not confirmed", 0.16, 0.8, 0, leaseTTL, false},
		{"unknown shares", 0, 0, 0, 0, false},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			is := is.New(t)
			now := time.Unix(1000, 0)
			leaseConfirmedAt := now.Add(-tc.leaseAge)
			c := &Coordinator{processorShare: tc.holder, yieldAllowedAt: now.Add(tc.yieldAllowedIn), followers: map[*link.Follower]bool{
				{Member: link.Member{ProcessorShare: tc.follower}}: true,
			}}
			c.leaseConfirmedAt.Store(&leaseConfirmedAt)
			c.considerYield(now)
			is.Equal(c.yieldPlanned, tc.yields)
		})
	}
}
