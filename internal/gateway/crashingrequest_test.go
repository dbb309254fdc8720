package gateway

import (
	"context"
	"testing"
	"time"

	"github.com/matryer/is"

	"peridotmoor.org/peridotmoor/internal/fleet"
	"peridotmoor.org/peridotmoor/internal/placing"
)

// Guards against a request that crashes servers while an instance has no holder, and against
// a next holder that is not told what the instance has seen.
func TestInstanceRemembersRequestsThatCrashServers(t *testing.T) {
	is := is.New(t)
	registry := newRegistry(fleet.KindNonIdempotent)
	client := NewSchedulerClient("i", "d", registry, nil)
	place := func(content uint64) placing.Decision {
		return client.Place(context.Background(), placing.Attempt{Service: "s", Key: placing.NoKey, Deadline: time.Now().Add(time.Second), ContentHash: content})
	}
	for range 2 {
		v := place(9)
		is.True(v.Server != "")
		client.Complete(placing.Completion{AttemptID: v.AttemptID, Server: v.Server, Outcome: placing.Lost, ContentHash: 9})
	}
	client.local.failures.servers.Clear() // the servers are back
	is.Equal(place(9).Reason, placing.ReasonCrashes)
	is.True(place(8).Server != "")

	l := &recordingLink{roundRobinLink: roundRobinLink{client: client, servers: []string{"a"}}}
	client.Attach(l)
	told := 0
	for _, up := range l.sent {
		for _, loss := range up.Losses {
			is.Equal(loss.Mark, uint64(9))
			is.True(loss.AgeUs >= 0)
			told++
		}
	}
	is.Equal(told, 2)
}
