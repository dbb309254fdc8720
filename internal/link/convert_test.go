package link

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"peridotmoor.org/peridotmoor/internal/fleet"
	"peridotmoor.org/peridotmoor/internal/link/linkpb"
	"peridotmoor.org/peridotmoor/internal/placing"
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
