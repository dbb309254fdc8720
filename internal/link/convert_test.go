package link

import (
	"math"
	"testing"
	"time"

	"github.com/matryer/is"

	"peridotmoor.org/peridotmoor/internal/fleet"
	"peridotmoor.org/peridotmoor/internal/link/linkpb"
	"peridotmoor.org/peridotmoor/internal/placing"
	"peridotmoor.org/peridotmoor/internal/usagecap"
)

// Guards against numbers that are cut to fewer bits on the way to another instance: at the
// bounds of fleet and platform each must arrive as it was.
func TestNumbersAtTheirBoundsSurviveTheLink(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	server := fleet.Server{
		Incarnation: fleet.Incarnation{Name: "i-1", StartMS: 253402300799999}, Service: "s", Address: "10.0.0.1:65535", Domain: "d",
		Slots: fleet.MaxSlots, ColdUntil: now.Add(1e9 * time.Second),
	}
	is.Equal(decodeServers(encodeServers([]fleet.Server{server}, now), now)[0], server)
	const most = 1 << 20 // of the figures of a load header, and of the rank of a route
	completion := placing.Completion{AttemptID: placing.AttemptID{Instance: "a", Number: 1}, Server: "i-1", Load: placing.Load{Known: true, Running: most, Waiting: most, Slots: most, SlowdownFactor: most}}
	local := JoinLocal(&recordingHandler{joined: make(chan Member, 1)}, Member{Instance: "a"}, NewClock(), func(*linkpb.Down) {})
	defer local.Close()
	is.Equal(DecodeFinish(EncodeFinish(completion, local), local.follower), completion)
	attempt := placing.Attempt{AttemptID: placing.AttemptID{Instance: "a", Number: 1}, Key: 65535, Priority: most, Domain: "d", SoftDeadline: now, Deadline: now.Add(time.Hour), Hedge: true}
	is.Equal(DecodeAsk(EncodeAsk(attempt, now), "a", "d", now), attempt)
}

// Guards against values of another process that would lift the cap of a team, and against
// parts of an allowance that are mixed up.
func TestAllowancesAreChecked(t *testing.T) {
	is := is.New(t)
	receiver := NewFactsReceiver(nil)
	want := usagecap.Allowance{Rate: 3, Tokens: 2, Burst: 4, Part: 0.5, Need: 0.75}
	v := EncodeVerdict(placing.Decision{Server: "a", Allowance: want}, &Follower{})
	is.Equal(DecodeVerdict(v, "i", receiver).Allowance, want)
	for _, bad := range []float64{math.NaN(), math.Inf(1), math.Inf(-1), -1} {
		for _, field := range []*float64{&v.AllowedPerS, &v.AllowedNow, &v.AllowedBurst, &v.AllowedPart, &v.AllowedNeed} {
			good := *field
			*field = bad
			is.Equal(DecodeVerdict(v, "i", receiver).Allowance, usagecap.Allowance{})
			*field = good
		}
	}
	is.Equal(DecodeVerdict(&linkpb.Verdict{Server: "a"}, "i", receiver).Allowance, usagecap.Allowance{}) // of an older version
	held := map[string]usagecap.Holding{"t": {Part: 0.25, Tokens: -0.5}}
	is.Equal(DecodeHoldings(EncodeHoldings(held)), held)
}
