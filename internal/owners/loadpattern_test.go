package owners_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"peridotmoor.org/peridotmoor/internal/owners"
)

const (
	patternServers = 252
	// patternRate leaves the slots at about 35% on average.
	patternRate = 1230.0
)

// logResult logs the result of a period.
func logResult(t *testing.T, period string, r *loadResult) {
	t.Helper()
	t.Logf("%s: %v", period, r)
}

// Guards against slow servers that keep as many keys as fast ones, and against moves without
// end on a calm day.
func TestUniformLoadOnUnevenServers(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	sim := newLoadSim(1, patternServers)
	sim.run(3*time.Second, 0)
	first := sim.run(10*time.Second, patternRate)
	second := sim.run(10*time.Second, patternRate)
	settled := sim.run(20*time.Second, patternRate)
	sim.finish()
	logResult(t, "first 10 s", first)
	logResult(t, "next 10 s", second)
	logResult(t, "last 20 s", settled)
	t.Logf("Plan takes %v", sim.planTime/time.Duration(sim.plans))
	is.True(settled.requests > 20000)
	is.True(settled.lateShare() < 0.05)
	is.True(settled.inTimeShare() > 0.94)
	is.True(settled.movedShare() < 0.15) // 62% in a trial of a balance by noisy service times
	is.True(first.movedShare() < 0.15)   // 34% in that trial
}

// Guards against a division of the keys in the trough of a wave that does not hold at its crest,
// and against taking the crest for hot neighbouring keys.
func TestWaveOnUnevenServers(t *testing.T) {
	for _, seed := range []uint64{1, 2} {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			sim := newLoadSim(seed, patternServers)
			sim.waves = true
			sim.run(3*time.Second, 0)
			first := sim.run(wavePeriod, patternRate)
			settled := sim.run(3*wavePeriod, patternRate)
			sim.finish()
			logResult(t, "first wave", first)
			logResult(t, "next 3 waves", settled)
			is.True(settled.inTimeShare() > 0.935)
			is.True(settled.lateShare() < 0.055)
			is.True(settled.movedShare() < 0.45) // 150% in a trial of a balance by noisy service times
			is.True(settled.reasons["spread"] == 0)
		})
	}
}

// Guards against moving a key that no server can carry, and against needless moves after it has
// cooled down.
func TestOneHotKey(t *testing.T) {
	for _, perSecond := range []float64{60, 180} {
		t.Run(fmt.Sprint(perSecond), func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			hot, calm, sim := runHot(t, hotKeys{first: 30000, count: 1, perSecond: perSecond, to: 7 * time.Second})
			ofKey := 0
			for _, m := range sim.moves {
				if m.Contains(30000) && m.Size() < 100 {
					ofKey++
				}
			}
			t.Logf("moves of the hot key: %d", ofKey)
			is.True(ofKey <= 1) // 3 before
			is.True(hot.requests > 8000)
			is.True(calm.requests > 10000)
		})
	}
}

// Guards against hot neighbouring keys that leave their owner one range at a time.
func TestHotNeighbours(t *testing.T) {
	for _, count := range []int{60, 200} {
		t.Run(fmt.Sprint(count), func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			hot, calm, sim := runHot(t, hotKeys{first: 30000, count: count, perSecond: 400, to: 7 * time.Second})
			is.True(hot.requests > 8000)
			is.True(calm.requests > 10000)
			is.True(sim.hotOwners >= 15) // after 1.5 s
			is.True(float64(hot.refused) < 0.055*float64(hot.requests))
		})
	}
}

// runHot runs a settled fleet with hot keys, and afterwards without.
func runHot(t *testing.T, hot hotKeys) (*loadResult, *loadResult, *loadSim) {
	t.Helper()
	sim := newLoadSim(2, patternServers)
	sim.run(3*time.Second, 0)
	sim.run(20*time.Second, patternRate)
	sim.after(1500*time.Millisecond, func() { sim.hotOwners = sim.ownersOf(hot.first, hot.first+hot.count-1) })
	during := sim.run(7*time.Second, patternRate, hot)
	after := sim.run(5*time.Second, patternRate)
	calm := sim.run(15*time.Second, patternRate)
	sim.finish()
	t.Logf("owners of the hot keys after 1.5 s: %d", sim.hotOwners)
	logResult(t, "7 s hot", during)
	logResult(t, "5 s after", after)
	logResult(t, "15 s later", calm)
	return during, calm, sim
}

// Guards against a holder that learns the speeds of all servers again, and against a first plan
// that does not use them.
func TestLearnedSpeedsSurviveTheHolder(t *testing.T) {
	for _, kept := range []string{"ranges", "speeds only"} {
		t.Run(kept, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			sim := newLoadSim(5, patternServers)
			sim.run(3*time.Second, 0)
			learning := sim.run(10*time.Second, patternRate)
			sim.run(15*time.Second, patternRate)
			sim.finish()
			record := sim.table.Record()
			record.Epoch++
			record.RelativeTimes = sim.scheduler.RelativeTimes()
			if kept == "speeds only" {
				record.Services = nil
			}
			text, err := record.Encode()
			is.NoErr(err)
			record, err = owners.DecodeRecord(text, 100)
			is.NoErr(err)
			sim.begin(record)
			sim.run(3*time.Second, 0)
			next := sim.run(10*time.Second, patternRate)
			sim.finish()
			logResult(t, "first holder, first 10 s", learning)
			logResult(t, "next holder, first 10 s", next)
			t.Logf("the record has %d bytes", len(text))
			is.True(next.lateShare() < 0.05)
			is.True(next.inTimeShare() >= learning.inTimeShare())
			is.True(next.movedShare() <= learning.movedShare())
			if kept == "speeds only" {
				is.True(next.moves < learning.moves/4) // the first plan already follows the speeds
			}
		})
	}
}

// Guards against a server that joins and gets no keys, and against the loss of requests when one leaves.
func TestServersJoinAndLeave(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	sim := newLoadSim(4, patternServers)
	sim.run(3*time.Second, 0)
	sim.run(20*time.Second, patternRate)
	sim.addServer("t000", 1.7)
	sim.update()
	joined := sim.run(10*time.Second, patternRate)
	sim.servers["s010"].Leaving = true
	sim.update()
	left := sim.run(10*time.Second, patternRate)
	sim.finish()
	logResult(t, "10 s after a server has joined", joined)
	logResult(t, "10 s after a server is leaving", left)
	owned, lost := 0, 0
	for _, r := range sim.table.OwnedRanges(loadService) {
		switch r.Owner {
		case "t000":
			owned += r.Size()
		case "s010":
			lost += r.Size()
		}
	}
	is.True(owned > 0)
	is.Equal(lost, 0)
}
